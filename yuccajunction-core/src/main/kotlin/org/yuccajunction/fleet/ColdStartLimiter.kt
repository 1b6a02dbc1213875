package org.yuccajunction.fleet

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime

/**
 * Limits the requests that cold servers get from all entries together.
 *
 * Only [MAX_ENTRIES_PER_SERVER] entries send requests to a server while it is cold, each an equal part of the rate.
 */
public class ColdStartLimiter(entry: String) {
    private val rate = SharedServerRate(entry)

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
        return rate.permits(server.id, ratePerSecond, MAX_ENTRIES_PER_SERVER, entries, now)
    }

    /** Counts a request that is sent to [server]. */
    public fun recordRequest(server: BackendServer): Unit = rate.recordRequest(server.id)

    /** Forgets all servers but those whose identity is in [known]. */
    public fun retainServers(known: Set<BackendServerId>): Unit = rate.retainServers(known)

    public companion object {
        /** Number of entries that send requests to the same cold server. */
        public const val MAX_ENTRIES_PER_SERVER: Int = 3
    }
}
