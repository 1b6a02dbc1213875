package org.yuccajunction.fleet

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the limits that backend servers name in their answers, over all entries together.
 *
 * A limit is the rate of requests that a server takes from all entries. A few entries share it and go on sending, so
 * that they hear when it changes or ends; the others learn of it from them and send nothing. Confined to the traffic
 * thread.
 */
public class RequestLimits(private val entry: String) {
    private val rate = SharedServerRate(entry)
    private val ownLimits = HashMap<BackendServerId, OwnLimit>()
    private val reportedByPeers = HashMap<String, Map<BackendServerId, Double>>()

    /**
     * Records that an answer of [server] named the limit [requestsPerSecond], null for none.
     *
     * Returns whether the limit differs from that of the last answer.
     */
    public fun record(server: BackendServerId, requestsPerSecond: Double?, now: MonotonicTime): Boolean {
        val last = ownLimits[server]
        if (requestsPerSecond == null && last?.requestsPerSecond == null) return false
        ownLimits[server] =
            OwnLimit(requestsPerSecond, now, if (requestsPerSecond == null) LIFT_VALIDITY else validity(server))
        return last?.requestsPerSecond != requestsPerSecond
    }

    /** Replaces what the peer [entry] reports of limits: those in force, and the servers that have lifted theirs. */
    public fun recordPeer(entry: String, limits: Map<BackendServerId, Double>, lifted: Set<BackendServerId>) {
        if (limits.isEmpty()) reportedByPeers.remove(entry) else reportedByPeers[entry] = limits
        lifted.filter { ownLimits[it]?.requestsPerSecond != null }.forEach(ownLimits::remove)
    }

    /** Forgets what entries other than [live] reported. */
    public fun retainPeers(live: Set<String>) {
        reportedByPeers.keys.retainAll(live)
    }

    /** Forgets all servers but those in [known]. */
    public fun retainServers(known: Set<BackendServerId>) {
        ownLimits.keys.retainAll(known)
        rate.retainServers(known)
    }

    /** Forgets the limit of [server], which has restarted. */
    public fun forget(server: BackendServerId) {
        ownLimits.remove(server)
    }

    /** Returns whether [server] may get a request at [now]; [entries] are the names of the live entries. */
    public fun permits(server: BackendServerId, entries: List<String>, now: MonotonicTime): Boolean {
        val limit = limitOf(server, now) ?: return true
        return rate.permits(server, maxOf(limit, MIN_RATE), sendingEntries(limit), entries, now)
    }

    /** Counts a request that is sent to [server]. */
    public fun recordRequest(server: BackendServerId): Unit = rate.recordRequest(server)

    /** Returns the limits that servers have named to this entry itself, for its peers. */
    public fun named(now: MonotonicTime): Map<BackendServerId, Double> =
        ownLimits.filterValues { it.isValid(now) }
            .mapNotNull { (server, limit) -> limit.requestsPerSecond?.let { server to it } }
            .toMap()

    /** Returns the servers that named a limit to this entry and then no longer did, for its peers. */
    public fun lifted(now: MonotonicTime): Set<BackendServerId> =
        ownLimits.filterValues { it.requestsPerSecond == null && it.isValid(now) }.keys.toSet()

    /** The newest own answer counts; without one, the lowest limit that a peer reports. */
    private fun limitOf(server: BackendServerId, now: MonotonicTime): Double? {
        val own = ownLimits[server]
        if (own != null && own.isValid(now)) return own.requestsPerSecond
        return reportedByPeers.values.mapNotNull { it[server] }.minOrNull()
    }

    /** Returns how long this entry keeps a limit of [server] without an answer; others keep it for other times. */
    private fun validity(server: BackendServerId): Duration {
        val hash = RendezvousHash.score(RendezvousHash.hash(entry), RendezvousHash.hash(server.value))
        return LIMIT_VALIDITY * (1.0 + Random(hash).nextDouble(VALIDITY_SPREAD))
    }

    private class OwnLimit(val requestsPerSecond: Double?, val at: MonotonicTime, private val validity: Duration) {
        fun isValid(now: MonotonicTime): Boolean = now - at < validity
    }

    private companion object {
        /** Requests per second that a server gets even if its limit is lower, so that its end shows. */
        const val MIN_RATE = 0.2

        /** Entries that share the lowest limits; each may send one request at once. */
        const val MIN_SENDING_ENTRIES = 3

        /** Time for which an entry keeps a limit without an answer, if no other entry reports that it ended. */
        val LIMIT_VALIDITY = 60.seconds

        /** Largest addition to the validity, as a fraction, so that entries do not all send again at once. */
        const val VALIDITY_SPREAD = 2.0

        /** Time for which an entry reports to its peers that a limit has ended. */
        val LIFT_VALIDITY = 10.seconds

        /** Returns how many entries share [limit]: more for a higher one, so that their part is not too small. */
        fun sendingEntries(limit: Double): Int =
            MIN_SENDING_ENTRIES + limit.coerceAtMost(Short.MAX_VALUE.toDouble()).toInt()
    }
}
