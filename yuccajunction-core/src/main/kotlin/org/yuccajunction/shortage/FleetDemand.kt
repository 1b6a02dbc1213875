package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The reports of the peers on one service, and the mean of these and of this entry's own.
 *
 * The mean takes the place of a sum, so that lost reports and entries that have just started do not lower the demand.
 * The weight of a report falls with its age; a report of 10 s ago counts no more.
 */
internal class FleetDemand {
    private val peers = HashMap<String, PeerReport>()

    private class PeerReport(val report: DemandReport, val at: MonotonicTime)

    fun recordPeer(peer: String, report: DemandReport?, now: MonotonicTime) {
        if (report == null) peers.remove(peer) else peers[peer] = PeerReport(report, now)
    }

    fun retainPeers(live: Set<String>) {
        peers.keys.retainAll(live)
    }

    /** Returns the mean of [own] and of the peers' reports at [now]; [ownAge] is the age of the own load reports. */
    fun mean(own: DemandReport, ownAge: Duration, now: MonotonicTime): MeanDemand {
        val sums = Sums()
        sums.add(own, 1.0)
        sums.addOccupancy(own.occupancy, 1.0, ownAge)
        for (peer in peers.values) {
            val age = now - peer.at
            if (age >= LONGEST_AGE) continue
            sums.add(peer.report, exp(-(age / TIME_CONSTANT)))
            sums.addOccupancy(peer.report.occupancy, exp(-(age / OCCUPANCY_TIME_CONSTANT)), age)
        }
        return sums.mean()
    }

    private class Sums {
        private var weights = 0.0
        private var offeredFast = 0.0
        private var completed = 0.0
        private var requests = 0.0
        private var offered = 0.0
        private var running = 0.0
        private var waiting = 0.0
        private var slots = 0.0
        private var occupancyAge = LONGEST_AGE
        private val rows = HashMap<Int, DoubleArray>()
        private val rejected = DoubleArray(DemandMeter.RANKS)

        fun add(report: DemandReport, weight: Double) {
            weights += weight
            offeredFast += report.offered * weight
            completed += report.completed * weight
            requests += report.requests * weight
            for (row in report.rows) {
                val byRank = rows.getOrPut(row.workspace) { DoubleArray(DemandMeter.RANKS) }
                addTo(byRank, row.offered, weight)
                addTo(rejected, row.rejected, weight)
                offered += row.offered.sum() * weight
            }
        }

        fun addOccupancy(report: OccupancyReport, weight: Double, age: Duration) {
            if (report.slots <= 0) return
            running += report.running * weight
            waiting += report.waiting * weight
            slots += report.slots * weight
            occupancyAge = minOf(occupancyAge, age)
        }

        private fun addTo(sums: DoubleArray, byRank: List<Int>, weight: Double) =
            byRank.take(DemandMeter.RANKS).forEachIndexed { rank, work -> sums[rank] += work * weight }

        /** Returns the means; the workspaces are scaled to the total of the last moments, which shows a jump first. */
        fun mean(): MeanDemand {
            val scale = if (offered > 0.0) offeredFast / offered / weights else 0.0
            return MeanDemand(
                rows.mapValues { (_, byRank) -> DoubleArray(byRank.size) { byRank[it] * scale } },
                DoubleArray(rejected.size) { rejected[it] / weights },
                completed / weights,
                if (requests > 0.0) offered / requests * REQUESTS_UNIT else 0.0,
                ServiceOccupancy(running, waiting, slots, occupancyAge.inWholeMilliseconds).takeIf { slots > 0.0 },
            )
        }
    }

    private companion object {
        /** Requests per second are reported in tenths. */
        const val REQUESTS_UNIT = 10.0

        /** The same for the load of the servers, which changes faster. */
        val OCCUPANCY_TIME_CONSTANT = 200.milliseconds

        /** Time in which the weight of a report falls to 1/e, where an entry gets 30 reports per second. */
        val TIME_CONSTANT = 800.milliseconds
        val LONGEST_AGE = 10.seconds
    }
}
