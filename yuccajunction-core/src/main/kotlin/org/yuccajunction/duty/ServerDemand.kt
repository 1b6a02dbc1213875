package org.yuccajunction.duty

import org.yuccajunction.model.MonotonicTime
import kotlin.math.ceil
import kotlin.time.DurationUnit

/**
 * Estimates how many backend servers one service needs.
 *
 * Each estimate rises fast and falls slowly, so that capacity is ordered early in a burst and kept for a while after.
 * A cheap server may be idle more of the time than a dear one, so more of them are needed for the same demand, and the
 * cheaper they are, the more of the first ones are kept against a sudden demand.
 */
internal class ServerDemand {
    private val reclaimable = SmoothedCount(RECLAIMABLE_FALL_SECONDS)
    private val onDemand = SmoothedCount(ON_DEMAND_FALL_SECONDS)
    private val afterZoneLoss = SmoothedCount(ON_DEMAND_FALL_SECONDS)

    /**
     * Updates the estimates with [demand] at [now] and returns them.
     *
     * @param slots requests that one server executes at once
     * @param reclaimablePriceFraction price of a reclaimable server as a fraction of that of an on-demand server
     * @param baseline number of servers before the first order, all of which are kept while the demand is not known
     */
    fun update(
        demand: ServiceDemand,
        slots: Int,
        reclaimablePriceFraction: Double,
        baseline: Int,
        now: MonotonicTime,
    ): RequiredServers {
        val reclaimableUtilization =
            IDLE_PRICE_UTILIZATION + (FULL_PRICE_UTILIZATION - IDLE_PRICE_UTILIZATION) * reclaimablePriceFraction
        val leastReclaimable = ceil(baseline * (1.0 - reclaimablePriceFraction))
        val neededReclaimable = maxOf(leastReclaimable, neededServers(demand, slots, reclaimableUtilization, baseline))
        val neededOnDemand = neededServers(demand, slots, FULL_PRICE_UTILIZATION, baseline)
        val neededAfterLoss = if (demand.busyServers == null) 0.0 else neededOnDemand * AFTER_LOSS_FRACTION
        return RequiredServers(
            reclaimable.update(neededReclaimable, now),
            onDemand.update(neededOnDemand, now),
            afterZoneLoss.update(neededAfterLoss, now),
            isDemandKnown = demand.busyServers != null,
        )
    }

    private fun neededServers(demand: ServiceDemand, slots: Int, utilization: Double, baseline: Int): Double {
        val byWork = demand.busyServers?.div(utilization) ?: baseline.toDouble()
        val openRequestsPerServer = maxOf(slots * OPEN_SLOTS_FRACTION, minOf(slots * FEW_SLOTS_FRACTION, FEW_SLOTS))
        val byOpenRequests = demand.openRequests / openRequestsPerServer
        return maxOf(byWork, byOpenRequests)
    }

    /** A moving average of a number of servers, rounded up to whole servers with some hysteresis. */
    private class SmoothedCount(private val fallSeconds: Double) {
        private var smoothed = 0.0
        private var count = 0
        private var updatedAt: MonotonicTime? = null

        fun update(needed: Double, now: MonotonicTime): Int {
            val elapsedSeconds = updatedAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: RISE_SECONDS
            updatedAt = now
            val timeConstantSeconds = if (needed > smoothed) RISE_SECONDS else fallSeconds
            smoothed += (needed - smoothed) * minOf(1.0, elapsedSeconds / timeConstantSeconds)
            count = count.coerceIn(ceil(smoothed).toInt(), ceil(smoothed + HYSTERESIS_SERVERS).toInt())
            return count
        }
    }

    private companion object {
        /** Fraction of the time for which a server is to be busy, if it costs nothing and at full price. */
        const val IDLE_PRICE_UTILIZATION = 0.35
        const val FULL_PRICE_UTILIZATION = 0.6

        /** Fraction of the slots of a server that are to be in use, since many requests slow each other down. */
        const val OPEN_SLOTS_FRACTION = 0.23

        /** The same for a server with few slots, and the number of requests up to which it applies. */
        const val FEW_SLOTS_FRACTION = 0.5
        const val FEW_SLOTS = 8.0

        /** Part of the needed servers with which the demand is just served. */
        const val AFTER_LOSS_FRACTION = 0.75
        const val RISE_SECONDS = 2.0
        const val RECLAIMABLE_FALL_SECONDS = 20.0
        const val ON_DEMAND_FALL_SECONDS = 10.0

        /** Excess over the estimate up to which a server is kept, against repeated orders. */
        const val HYSTERESIS_SERVERS = 0.25
    }
}

/**
 * Numbers of servers that a service needs, if all of them are of one kind.
 *
 * @property reclaimable reclaimable servers
 * @property onDemand on-demand servers
 * @property afterZoneLoss servers that are to be left if the zone with the most reclaimable servers loses them, 0 while
 *   the demand is not known
 * @property isDemandKnown whether the numbers follow from the work that entries have reported
 */
internal data class RequiredServers(
    val reclaimable: Int,
    val onDemand: Int,
    val afterZoneLoss: Int,
    val isDemandKnown: Boolean,
)
