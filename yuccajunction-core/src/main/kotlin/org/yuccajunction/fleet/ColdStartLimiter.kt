package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.time.DurationUnit

/**
 * Limits the requests that cold servers get from all entries together.
 *
 * For each server, every entry ranks the live entries in the same order, by rendezvous hashing. Only the first
 * [MAX_ENTRIES_PER_SERVER] of them may send requests to the server while it is cold, each by a token bucket that holds
 * one request and gets an equal part of the cold rate.
 */
public class ColdStartLimiter(private val entry: String) {
    private val ownHash = RendezvousHash.hash(entry)
    private val buckets = HashMap<String, TokenBucket>()
    private var rankedEntries = emptyList<String>()
    private var otherHashes = emptyList<Long>()

    /**
     * Returns whether [server] may get a request at [now].
     *
     * [ratePerSecond] is the rate of a cold server, 0 for no limit; [entries] are the names of the live entries. A
     * request that is then sent is to be counted by [recordRequest].
     */
    public fun permits(
        server: BackendServer,
        ratePerSecond: Double,
        entries: List<String>,
        now: MonotonicTime,
    ): Boolean {
        if (ratePerSecond <= 0.0 || !server.isCold(now)) return true
        val permittedEntries = minOf(MAX_ENTRIES_PER_SERVER, maxOf(1, entries.size))
        if (rank(server, entries) >= permittedEntries) return false
        val bucket = buckets.getOrPut(server.id.value) { TokenBucket(now) }
        bucket.refill(ratePerSecond / permittedEntries, now)
        return bucket.level >= 1.0
    }

    /** Counts a request that is sent to [server]. */
    public fun recordRequest(server: BackendServer) {
        buckets[server.id.value]?.let { it.level -= 1.0 }
    }

    /** Forgets all servers but those whose identity is in [known]. */
    public fun retainServers(known: Set<String>) {
        buckets.keys.retainAll(known)
    }

    private fun rank(server: BackendServer, entries: List<String>): Int {
        if (entries !== rankedEntries) {
            rankedEntries = entries
            otherHashes = entries.filter { it != entry }.map(RendezvousHash::hash)
        }
        val key = RendezvousHash.hash(server.id.value)
        val own = RendezvousHash.score(ownHash, key)
        return otherHashes.count { RendezvousHash.score(it, key) > own }
    }

    private class TokenBucket(private var refilledAt: MonotonicTime) {
        var level = 1.0

        fun refill(ratePerSecond: Double, now: MonotonicTime) {
            val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
            level = minOf(1.0, level + seconds * ratePerSecond)
            refilledAt = now
        }
    }

    public companion object {
        /** Number of entries that send requests to the same cold server. */
        public const val MAX_ENTRIES_PER_SERVER: Int = 3
    }
}
