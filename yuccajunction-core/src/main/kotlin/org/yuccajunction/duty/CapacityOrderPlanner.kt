package org.yuccajunction.duty

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.ScalingRule
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which servers to order: reclaimable ones in every availability zone, others only in place of missing ones.
 *
 * What the platform takes away or refuses in one zone is ordered in the other zones; what is refused everywhere is
 * replaced by servers that can't be taken away, where they cost least. Where open requests need more servers than there
 * usually are, more reclaimable ones are ordered. Confined to the control thread.
 */
public class CapacityOrderPlanner {
    private val lastOrders = HashMap<OrderKey, LastOrder>()
    private val demands = HashMap<ServiceName, ServerDemand>()

    /**
     * Returns the orders that are due for [service].
     *
     * @param servers the servers that may take requests
     * @param baseline servers that each availability zone should have
     * @param openRequests requests of the service that are open at all entries together
     */
    public fun dueOrders(
        service: ForwardService,
        servers: Collection<BackendServer>,
        baseline: Map<AvailabilityZone, Int>,
        openRequests: Double,
        now: MonotonicTime,
    ): List<CapacityOrder> {
        val rule = service.scaling ?: return emptyList()
        val state =
            ServiceState(service.name, rule, servers.filter { it.service == service.name && !it.isDraining }, now)
        val requiredServers = demands.getOrPut(service.name) { ServerDemand() }.update(openRequests, now)
        val reclaimable = reclaimableCounts(state, baseline, requiredServers)
        val orders =
            reclaimable.mapNotNull { (zone, count) -> reclaimableOrder(state, zone, count, baseline[zone] ?: 0) }
        return orders + onDemandOrders(state, baseline.values.sum())
    }

    /** An order was accepted or refused at [now]. */
    public fun recordAnswer(order: CapacityOrder, isAccepted: Boolean, now: MonotonicTime) {
        lastOrders[OrderKey(order.service, order.zone, order.isReclaimable)] = LastOrder(order.desired, isAccepted, now)
    }

    /** Forgets all orders, as another entry may have ordered since. */
    public fun clearOrders() {
        lastOrders.clear()
    }

    private fun reclaimableCounts(
        state: ServiceState,
        baseline: Map<AvailabilityZone, Int>,
        requiredServers: Int,
    ): Map<AvailabilityZone, Int> {
        val zones = state.rule.pricesByAvailabilityZone.keys
        val (refusing, accepting) = zones.partition { isRecentlyRefused(state, it) }
        val missing = refusing.sumOf { baseline[it] ?: 0 } + maxOf(0, requiredServers - baseline.values.sum())
        val extra = if (accepting.isEmpty()) 0 else (missing + accepting.size - 1) / accepting.size
        return zones.associateWith { zone ->
            val count = (baseline[zone] ?: 0) + if (zone in accepting) extra else 0
            count.coerceIn(state.rule.minimum, state.rule.maximum)
        }
    }

    private fun isRecentlyRefused(state: ServiceState, zone: AvailabilityZone): Boolean {
        val last = lastOrders[OrderKey(state.service, zone, true)] ?: return false
        return !last.isAccepted && state.now - last.answeredAt < REFUSAL_VALIDITY
    }

    private fun reclaimableOrder(
        state: ServiceState,
        zone: AvailabilityZone,
        count: Int,
        baselineCount: Int,
    ): CapacityOrder? {
        val order = CapacityOrder(state.service, zone, count, isReclaimable = true)
        val last = lastOrders[OrderKey(state.service, zone, true)] ?: return order
        val age = state.now - last.answeredAt
        val present = state.countServers(zone, isReclaimable = true)
        val isMissing = present < count
        val isDue =
            when {
                !last.isAccepted -> age >= if (present < baselineCount) REFUSAL_RETRY_DELAY else REFUSAL_VALIDITY
                last.desired != count -> true
                else -> isMissing && age >= state.rule.startupDuration + REORDER_MARGIN
            }
        return order.takeIf { isDue }
    }

    /** Orders servers that can't be taken away in place of what is missing, and gives back what is not needed. */
    private fun onDemandOrders(state: ServiceState, baselineTotal: Int): List<CapacityOrder> {
        val zones = state.rule.pricesByAvailabilityZone.entries.sortedBy { it.value }.map { it.key }
        val present = zones.associateWith { state.countServers(it, isReclaimable = false) }
        val ordered =
            zones.associateWith { maxOf(present.getValue(it), expectedServers(state, it, isReclaimable = false)) }
        val warmReclaimable = zones.sumOf { state.countWarmReclaimable(it) }
        val reclaimableTotal =
            zones.sumOf { maxOf(state.countServers(it, true), expectedServers(state, it, isReclaimable = true)) }
        val missing = baselineTotal - reclaimableTotal - ordered.values.sum()
        val surplus = present.values.sum() - maxOf(0, baselineTotal - warmReclaimable)
        return when {
            missing > 0 -> ordersToAdd(state, zones, ordered, missing)
            surplus > 0 -> ordersToRelease(state, zones.reversed(), present, surplus)
            else -> emptyList()
        }
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

    /** Returns how many servers an order that was lately accepted will lead to. */
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
        fun countServers(zone: AvailabilityZone, isReclaimable: Boolean): Int =
            servers.count { it.availabilityZone == zone && it.isReclaimable == isReclaimable }

        fun countWarmReclaimable(zone: AvailabilityZone): Int =
            servers.count { it.availabilityZone == zone && it.isReclaimable && !it.isCold(now) }
    }

    private data class OrderKey(val service: ServiceName, val zone: AvailabilityZone, val isReclaimable: Boolean)

    private class LastOrder(val desired: Int, val isAccepted: Boolean, val answeredAt: MonotonicTime)

    private companion object {
        val REFUSAL_VALIDITY = 6.seconds
        val REFUSAL_RETRY_DELAY = 3.seconds
        val REORDER_MARGIN = 3.seconds
        val START_MARGIN = 2.seconds
        val RELEASE_DELAY = 4.seconds
    }
}
