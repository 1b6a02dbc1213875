package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.time.DurationUnit

/**
 * Divides what a cold server bears between a few entries, so that the sum over all entries stays within it.
 *
 * Every entry ranks the live entries alike for each server; only the first [MAX_ENTRIES_PER_SERVER] of them may use it
 * while it is cold, each for an equal part of the rate and one request at a time.
 */
public class ColdStartLimiter(private val entry: String) {
    private val ownHash = RendezvousHash.hash(entry)
    private val buckets = HashMap<String, TokenBucket>()
    private var rankedEntries = emptyList<String>()
    private var otherHashes = emptyList<Long>()

    /** Returns whether [server] may get a request at [now], without taking it. */
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

    /** Records that [server] got a request. */
    public fun recordRequest(server: BackendServer) {
        buckets[server.id.value]?.let { it.level -= 1.0 }
    }

    /** Forgets servers other than [known]. */
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
        /** Entries that share a cold server. */
        public const val MAX_ENTRIES_PER_SERVER: Int = 3
    }
}
