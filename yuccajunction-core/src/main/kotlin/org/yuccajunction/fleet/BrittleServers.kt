package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the requests to services whose servers fall over when they turn away too many in a second.
 *
 * While any answer of a service names such a bound, the slots of each server are divided among the live entries, so
 * that none is sent a request for which it has no room. Where there are fewer slots than entries, an entry also sends
 * beyond its part to servers that are less than half full, until some entry sees a rejection; and a few entries share a
 * small part of the rejections that a server stands. Confined to the traffic thread.
 */
public class BrittleServers(entry: String) {
    private val ranks = EntryRanks(entry)
    private val risk = SharedServerRate(entry)
    private val named = HashMap<ServiceName, Bound>()
    private val namedToPeers = HashMap<String, Map<ServiceName, Double>>()
    private val rejectedAt = HashMap<ServiceName, MonotonicTime>()

    /** Records that an answer of [service] named the bound [rejectionsPerSecond]; returns whether it is a new one. */
    public fun record(service: ServiceName, rejectionsPerSecond: Double, now: MonotonicTime): Boolean {
        val known = boundOf(service, now)
        named[service] = Bound(rejectionsPerSecond, now)
        return known != rejectionsPerSecond
    }

    /** Replaces the bounds that were named to the peer [entry]. */
    public fun recordPeer(entry: String, bounds: Map<ServiceName, Double>) {
        if (bounds.isEmpty()) namedToPeers.remove(entry) else namedToPeers[entry] = bounds
    }

    /** Forgets what entries other than [live] reported. */
    public fun retainPeers(live: Set<String>) {
        namedToPeers.keys.retainAll(live)
    }

    /** Records a rejection by a server of [service] at [time]; returns whether peers should know at once. */
    public fun recordRejection(service: ServiceName, time: MonotonicTime): Boolean {
        val last = rejectedAt[service]
        if (last == null || time > last) rejectedAt[service] = time
        return boundOf(service, time) != null && (last == null || time - last > REPORT_INTERVAL)
    }

    /** Returns the time since the last rejection by each service that names a bound, for peers. */
    public fun rejectionAges(now: MonotonicTime): Map<ServiceName, Duration> =
        rejectedAt.filterKeys { boundOf(it, now) != null }.mapValues { now - it.value }.filterValues { it < CAUTION }

    /** Returns the bounds that answers have named to this entry itself, for its peers. */
    public fun named(now: MonotonicTime): Map<ServiceName, Double> =
        named.filterValues { it.isValid(now) }.mapValues { it.value.rejectionsPerSecond }

    /** Returns whether the server of [load], one of those in [fleet], may get one more request. */
    internal fun permits(load: ServerLoad, fleet: FleetSnapshot, now: MonotonicTime): Boolean {
        val entries = fleet.entries
        val bound = boundOf(load.server.service, now) ?: return true
        if (load.inFlight < ownSlots(load.server, entries)) return true
        if (rejectedAt[load.server.service].let { it != null && now - it < CAUTION }) return false
        val isHalfEmpty = load.requests(now) < load.server.slots * SAFE_SLOTS_FRACTION
        return isHalfEmpty && isShort(load.server.service, fleet) ||
            risk.permits(load.server.id, bound * RISKED_FRACTION, RISKING_ENTRIES, entries, now)
    }

    /** Counts a request that is sent to the server of [load]. */
    internal fun recordRequest(load: ServerLoad, entries: List<String>) {
        if (load.inFlight >= ownSlots(load.server, entries)) risk.recordRequest(load.server.id)
    }

    /** Forgets all servers but those of [loads]. */
    internal fun retainServers(loads: Collection<ServerLoad>) {
        risk.retainServers(loads.mapTo(HashSet()) { it.server.id })
    }

    /** Returns this entry's part of the slots of [server]; the first entries by rank get those left over. */
    private fun ownSlots(server: BackendServer, entries: List<String>): Int {
        val usable = maxOf(1, (server.slots * USED_SLOTS_FRACTION).toInt())
        val count = maxOf(1, entries.size)
        val leftOver = if (ranks.rank(server.id, entries) < usable % count) 1 else 0
        return usable / count + leftOver
    }

    /** Returns whether the servers of [service] have so few slots that some entries could send no request at all. */
    private fun isShort(service: ServiceName, fleet: FleetSnapshot): Boolean =
        fleet.candidates(service).sumOf { it.slots } * USED_SLOTS_FRACTION < fleet.entries.size * FEW_SLOTS_PER_ENTRY

    private fun boundOf(service: ServiceName, now: MonotonicTime): Double? {
        val own = named[service]?.takeIf { it.isValid(now) }?.rejectionsPerSecond
        val reported = namedToPeers.values.mapNotNull { it[service] }.minOrNull()
        return listOfNotNull(own, reported).minOrNull()
    }

    private class Bound(val rejectionsPerSecond: Double, private val at: MonotonicTime) {
        fun isValid(now: MonotonicTime): Boolean = now - at < VALIDITY
    }

    private companion object {
        /** Slots that entries use; the rest is for views of the live entries that differ. */
        const val USED_SLOTS_FRACTION = 0.9

        const val FEW_SLOTS_PER_ENTRY = 2.0

        /** Part of a server's slots up to which entries send more than their own parts. */
        const val SAFE_SLOTS_FRACTION = 0.5

        /** Part of the rejections that a server stands which the entries together risk. */
        const val RISKED_FRACTION = 0.3
        const val RISKING_ENTRIES = 2

        /** Time after a rejection in which entries keep to their own parts. */
        val CAUTION: Duration = 2.seconds
        val REPORT_INTERVAL: Duration = 500.milliseconds

        /** Time for which a bound holds without an answer that names it. */
        val VALIDITY: Duration = 5.seconds
    }
}
