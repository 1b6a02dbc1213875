package org.yuccajunction.duty

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.ScalingRule
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which backend servers to order from the platform.
 *
 * As many reclaimable servers as the demand needs are ordered, evenly over the availability zones; while the demand is
 * not known, as many as there were at first. Reclaimable servers that one zone refuses are ordered in the other zones
 * instead. On-demand servers, which the platform can't take back, replace those that the demand needs and that are
 * missing, in the cheapest zone first, and are released once warm reclaimable servers cover the need. While a zone
 * refuses reclaimable servers, others may soon lose theirs, so that as many are ordered as a further loss would need.
 * Confined to the control thread.
 */
public class CapacityOrderPlanner {
    private val lastOrders = HashMap<OrderKey, LastOrder>()
    private val demands = HashMap<ServiceName, ServerDemand>()

    /**
     * Returns the orders for [service] that should be sent at [now].
     *
     * @param servers backend servers that may take requests, of any service
     * @param baseline number of servers that each availability zone should have
     * @param demand demand for the servers of the service, at all entries together
     * @param kept servers that no order may release, such as those of both versions while the service moves
     */
    public fun dueOrders(
        service: ForwardService,
        servers: Collection<BackendServer>,
        baseline: Map<AvailabilityZone, Int>,
        demand: ServiceDemand,
        now: MonotonicTime,
        kept: Collection<BackendServer> = emptyList(),
    ): List<CapacityOrder> {
        val rule = service.scaling ?: return emptyList()
        val state =
            ServiceState(service.name, rule, servers.filter { it.service == service.name && !it.isDraining }, now)
        val required =
            demands
                .getOrPut(service.name) { ServerDemand() }
                .update(demand, state.slots(service), rule.reclaimablePriceFraction, baseline.values.sum(), now)
        val orders =
            reclaimableCounts(state, required.reclaimable)
                .mapNotNull { (zone, count) -> reclaimableOrder(state, zone, count) }
        return (orders + onDemandOrders(state, required)).filterNot { order -> releasesAnyOf(kept, order) }
    }

    private fun releasesAnyOf(kept: Collection<BackendServer>, order: CapacityOrder): Boolean =
        order.desired < kept.count { it.availabilityZone == order.zone && it.isReclaimable == order.isReclaimable }

    /** Records that the platform accepted or refused [order] at [now]. */
    public fun recordAnswer(order: CapacityOrder, isAccepted: Boolean, now: MonotonicTime) {
        lastOrders[OrderKey(order.service, order.zone, order.isReclaimable)] = LastOrder(order.desired, isAccepted, now)
    }

    /** Clears the recorded orders when this entry takes the duties over, since another entry may have ordered. */
    public fun clearOrders() {
        lastOrders.clear()
    }

    /** Divides [required] servers evenly among the zones; what refusing zones lack is added to the others. */
    private fun reclaimableCounts(state: ServiceState, required: Int): Map<AvailabilityZone, Int> {
        val zones = state.rule.pricesByAvailabilityZone.entries.sortedBy { it.value }.map { it.key }
        val shares =
            zones.withIndex().associate { (index, zone) ->
                zone to required / zones.size + if (index < required % zones.size) 1 else 0
            }
        val (refusing, accepting) = zones.partition { isRecentlyRefused(state, it) }
        val missing = refusing.sumOf { maxOf(0, shares.getValue(it) - state.countServers(it, isReclaimable = true)) }
        val extra = if (accepting.isEmpty()) 0 else (missing + accepting.size - 1) / accepting.size
        return zones.associateWith { zone ->
            val count = shares.getValue(zone) + if (zone in accepting) extra else 0
            count.coerceIn(state.rule.minimum, state.rule.maximum)
        }
    }

    private fun isRecentlyRefused(state: ServiceState, zone: AvailabilityZone): Boolean {
        val last = lastOrders[OrderKey(state.service, zone, true)] ?: return false
        return !last.isAccepted && state.now - last.answeredAt < REFUSAL_VALIDITY
    }

    private fun reclaimableOrder(state: ServiceState, zone: AvailabilityZone, count: Int): CapacityOrder? {
        val order = CapacityOrder(state.service, zone, count, isReclaimable = true)
        val last = lastOrders[OrderKey(state.service, zone, true)] ?: return order
        val age = state.now - last.answeredAt
        val present = state.countServers(zone, isReclaimable = true)
        val isMissing = present < count
        val isDue =
            when {
                !last.isAccepted -> age >= if (isMissing) REFUSAL_RETRY_DELAY else REFUSAL_VALIDITY
                last.desired != count -> true
                else -> isMissing && age >= state.rule.startupDuration + REORDER_MARGIN
            }
        return order.takeIf { isDue }
    }

    /** Returns orders that add on-demand servers in place of missing servers, or release those that are not needed. */
    private fun onDemandOrders(state: ServiceState, required: RequiredServers): List<CapacityOrder> {
        val zones = state.rule.pricesByAvailabilityZone.entries.sortedBy { it.value }.map { it.key }
        val present = zones.associateWith { state.countServers(it, isReclaimable = false) }
        val ordered =
            zones.associateWith { maxOf(present.getValue(it), expectedServers(state, it, isReclaimable = false)) }
        val warmReclaimable = zones.map { state.countWarmReclaimable(it) }
        val reclaimable =
            zones.map { maxOf(state.countServers(it, true), expectedServers(state, it, isReclaimable = true)) }
        val isZoneLossLikely = required.isDemandKnown && zones.any { isRecentlyRefused(state, it) }
        val afterZoneLoss = if (isZoneLossLikely) required.onDemand else required.afterZoneLoss
        val missing = neededBeside(required.onDemand, afterZoneLoss, reclaimable) - ordered.values.sum()
        val surplus = present.values.sum() - neededBeside(required.onDemand, afterZoneLoss, warmReclaimable)
        return when {
            missing > 0 -> ordersToAdd(state, zones, ordered, missing)
            surplus > 0 -> ordersToRelease(state, zones.reversed(), present, surplus)
            else -> emptyList()
        }
    }

    /**
     * Returns the on-demand servers that are needed beside the [reclaimable] servers of each zone.
     *
     * There are to be [now] servers, and [afterZoneLoss] if the zone with the most reclaimable servers loses them.
     */
    private fun neededBeside(now: Int, afterZoneLoss: Int, reclaimable: List<Int>): Int {
        val leftAfterLoss = reclaimable.sum() - (reclaimable.maxOrNull() ?: 0)
        return maxOf(0, now - reclaimable.sum(), afterZoneLoss - leftAfterLoss)
    }

    private fun ordersToAdd(
        state: ServiceState,
        zones: List<AvailabilityZone>,
        ordered: Map<AvailabilityZone, Int>,
        missing: Int,
    ): List<CapacityOrder> {
        var remaining = missing
        return zones.mapNotNull { zone ->
            val current = ordered.getValue(zone)
            val room =
                state.rule.maximum - current -
                    maxOf(state.countServers(zone, true), expectedServers(state, zone, true))
            val more = minOf(remaining, maxOf(0, room), (missing + 1) / 2)
            remaining -= more
            if (more > 0) CapacityOrder(state.service, zone, current + more, isReclaimable = false) else null
        }
    }

    private fun ordersToRelease(
        state: ServiceState,
        zones: List<AvailabilityZone>,
        present: Map<AvailabilityZone, Int>,
        surplus: Int,
    ): List<CapacityOrder> {
        var remaining = surplus
        return zones.mapNotNull { zone ->
            val current = present.getValue(zone)
            val fewer = minOf(remaining, current)
            val last = lastOrders[OrderKey(state.service, zone, false)]
            val isSettled = last == null || state.now - last.answeredAt >= RELEASE_DELAY
            if (fewer == 0 || !isSettled) return@mapNotNull null
            remaining -= fewer
            CapacityOrder(state.service, zone, current - fewer, isReclaimable = false)
        }
    }

    /** Returns how many servers a recently accepted order should lead to, 0 without such an order. */
    private fun expectedServers(state: ServiceState, zone: AvailabilityZone, isReclaimable: Boolean): Int {
        val last = lastOrders[OrderKey(state.service, zone, isReclaimable)] ?: return 0
        val isRecent = state.now - last.answeredAt < state.rule.startupDuration + START_MARGIN
        return if (last.isAccepted && isRecent) last.desired else 0
    }

    private class ServiceState(
        val service: ServiceName,
        val rule: ScalingRule,
        private val servers: List<BackendServer>,
        val now: MonotonicTime,
    ) {
        /** Returns the requests that one server executes at once. */
        fun slots(service: ForwardService): Int =
            (service.engine?.slots ?: servers.firstOrNull()?.slots ?: 1).coerceAtLeast(1)

        fun countServers(zone: AvailabilityZone, isReclaimable: Boolean): Int =
            servers.count { it.availabilityZone == zone && it.isReclaimable == isReclaimable }

        fun countWarmReclaimable(zone: AvailabilityZone): Int =
            servers.count { it.availabilityZone == zone && it.isReclaimable && !it.isCold(now) }
    }

    private data class OrderKey(val service: ServiceName, val zone: AvailabilityZone, val isReclaimable: Boolean)

    private class LastOrder(val desired: Int, val isAccepted: Boolean, val answeredAt: MonotonicTime)

    private companion object {
        /** Time for which a zone that refused an order counts as refusing. */
        val REFUSAL_VALIDITY = 6.seconds

        /** Time after which a refused order is repeated if servers are missing in the zone. */
        val REFUSAL_RETRY_DELAY = 3.seconds

        /** Time beyond a server's start time after which an accepted order is repeated if servers are still missing. */
        val REORDER_MARGIN = 3.seconds

        /** Time beyond a server's start time for which the servers of an accepted order are still expected. */
        val START_MARGIN = 2.seconds

        /** Time after the last order for a zone's on-demand servers before some of them are released. */
        val RELEASE_DELAY = 4.seconds
    }
}
