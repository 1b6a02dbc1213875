package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import kotlin.math.roundToInt
import kotlin.math.sqrt
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures the demand for one service at this entry. */
internal class DemandMeter(private val service: String, private val startedAt: MonotonicTime) {
    private val offered = DecayingRate(startedAt, FAST)
    private val completed = DecayingRate(startedAt, SLOW)
    private val requests = DecayingRate(startedAt, SLOW)
    private val usualOffered = DecayingRate(startedAt, USUAL)
    private val rows = HashMap<Int, Row>()

    fun recordRequest(request: ShortageRequest, now: MonotonicTime) {
        offered.add(request.work, now)
        usualOffered.add(request.work, now)
        requests.add(1.0, now)
        row(request).offered[rankIndex(request.rank)].add(request.work, now)
    }

    fun recordRejection(request: ShortageRequest, now: MonotonicTime) =
        row(request).rejected[rankIndex(request.rank)].add(request.work, now)

    fun recordCompletion(work: Double, now: MonotonicTime) = completed.add(work, now)

    /** Returns whether the demand is further above the usual demand at this entry than chance explains. */
    fun hasJumped(now: MonotonicTime): Boolean {
        val usual = usualOffered.perSecond(now)
        val requestWork = usual / maxOf(1.0, requests.perSecond(now))
        val deviation = sqrt(usual * requestWork / FAST.toDouble(DurationUnit.SECONDS))
        return offered.perSecond(now) > usual * JUMP_FACTOR + deviation * JUMP_DEVIATIONS
    }

    /** Returns the report to peers, with [occupancy] and at most [maxRows] workspaces. */
    fun report(occupancy: ServiceOccupancy?, now: MonotonicTime, maxRows: Int): DemandReport {
        rows.values.removeIf { it.isEmpty(now) }
        val reported =
            rows.entries
                .map { (workspace, row) -> DemandRow(workspace, row.offered(now), row.rejected(now)) }
                .sortedByDescending { it.offered.sum() }
                .take(maxRows)
        return DemandReport(
            service,
            offered.perSecond(now).roundToInt(),
            completed.perSecond(now).roundToInt(),
            (requests.perSecond(now) * TENTHS).roundToInt(),
            occupancy?.let { OccupancyReport(tenths(it.running), tenths(it.waiting), tenths(it.slots)) }
                ?: OccupancyReport(),
            reported,
        )
    }

    private fun tenths(value: Double) = (value * TENTHS).roundToInt()

    private fun row(request: ShortageRequest): Row =
        rows.getOrPut(WorkspaceHash.of(request.workspace)) { Row(startedAt) }

    private class Row(startedAt: MonotonicTime) {
        val offered = List(RANKS) { DecayingRate(startedAt, SLOW) }
        val rejected = List(RANKS) { DecayingRate(startedAt, SLOW) }

        fun offered(now: MonotonicTime) = rounded(offered, now)

        fun rejected(now: MonotonicTime) = rounded(rejected, now)

        fun isEmpty(now: MonotonicTime) = offered.all { it.perSecond(now) < LEAST_WORK }

        /** Returns the [rates] without the zeros at the end. */
        private fun rounded(rates: List<DecayingRate>, now: MonotonicTime): List<Int> =
            rates.map { it.perSecond(now).roundToInt() }.dropLastWhile { it == 0 }
    }

    companion object {
        /** Number of ranks that are distinguished; less urgent ones count as the last of these. */
        const val RANKS = 4

        /** Slot milliseconds per second below which a workspace is forgotten. */
        private const val LEAST_WORK = 0.5
        private const val TENTHS = 10.0
        private const val JUMP_FACTOR = 1.5
        private const val JUMP_DEVIATIONS = 2.0
        private val FAST = 300.milliseconds
        private val SLOW = 1.seconds
        private val USUAL = 5.seconds

        fun rankIndex(rank: Int): Int = rank.coerceIn(0, RANKS - 1)
    }
}
