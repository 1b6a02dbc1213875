package org.yuccajunction.fleet

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.time.DurationUnit

/**
 * Divides a rate of requests to each server among a few of the entries.
 *
 * For each server, every entry ranks the live entries in the same order, by rendezvous hashing. Only the first ones may
 * send requests to the server, each by a token bucket that holds one request and gets an equal part of the rate.
 */
internal class SharedServerRate(entry: String) {
    private val ranks = EntryRanks(entry)
    private val buckets = HashMap<BackendServerId, TokenBucket>()

    /**
     * Returns whether [server] may get a request at [now].
     *
     * The first [sendingEntries] of the live [entries] share [ratePerSecond]. A request that is then sent is to be
     * counted by [recordRequest].
     */
    fun permits(
        server: BackendServerId,
        ratePerSecond: Double,
        sendingEntries: Int,
        entries: List<String>,
        now: MonotonicTime,
    ): Boolean {
        val permittedEntries = minOf(sendingEntries, maxOf(1, entries.size))
        if (ranks.rank(server, entries) >= permittedEntries) return false
        val bucket = buckets.getOrPut(server) { TokenBucket(now) }
        bucket.refill(ratePerSecond / permittedEntries, now)
        return bucket.level >= 1.0
    }

    /** Counts a request that is sent to [server]. */
    fun recordRequest(server: BackendServerId) {
        buckets[server]?.let { it.level -= 1.0 }
    }

    /** Forgets all servers but those in [known]. */
    fun retainServers(known: Set<BackendServerId>) {
        buckets.keys.retainAll(known)
    }

    private class TokenBucket(private var refilledAt: MonotonicTime) {
        var level = 1.0

        fun refill(ratePerSecond: Double, now: MonotonicTime) {
            val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
            level = minOf(1.0, level + seconds * ratePerSecond)
            refilledAt = now
        }
    }
}
