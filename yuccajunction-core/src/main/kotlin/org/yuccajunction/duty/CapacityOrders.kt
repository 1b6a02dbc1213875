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
public class CapacityOrders {
    private val orders = HashMap<OrderKey, LastOrder>()
    private val needs = HashMap<ServiceName, CapacityNeed>()

    /**
     * Returns the orders that are due for [service].
     *
     * @param servers the servers that may take requests
     * @param wanted servers that each availability zone should have
     * @param openRequests requests of the service that are open at all entries together
     */
    public fun due(
        service: ForwardService,
        servers: Collection<BackendServer>,
        wanted: Map<AvailabilityZone, Int>,
        openRequests: Double,
        now: MonotonicTime,
    ): List<CapacityOrder> {
        val rule = service.scaling ?: return emptyList()
        val state = State(service.name, rule, servers.filter { it.service == service.name && !it.isDraining }, now)
        val needed = needs.getOrPut(service.name) { CapacityNeed() }.update(openRequests, now)
        val reclaimable = reclaimableCounts(state, wanted, needed)
        val orders =
            reclaimable.mapNotNull { (zone, count) -> reclaimableOrder(state, zone, count, wanted[zone] ?: 0) }
        return orders + otherOrders(state, wanted.values.sum())
    }

    /** An order was accepted or refused at [now]. */
    public fun answered(order: CapacityOrder, isAccepted: Boolean, now: MonotonicTime) {
        orders[OrderKey(order.service, order.zone, order.isReclaimable)] = LastOrder(order.desired, isAccepted, now)
    }

    /** Forgets all orders, as another entry may have ordered since. */
    public fun forget() {
        orders.clear()
    }

    private fun reclaimableCounts(
        state: State,
        wanted: Map<AvailabilityZone, Int>,
        needed: Int,
    ): Map<AvailabilityZone, Int> {
        val zones = state.rule.pricesByAvailabilityZone.keys
        val (closed, open) = zones.partition { isRefused(state, it) }
        val missing = closed.sumOf { wanted[it] ?: 0 } + maxOf(0, needed - wanted.values.sum())
        val extra = if (open.isEmpty()) 0 else (missing + open.size - 1) / open.size
        return zones.associateWith { zone ->
            val count = (wanted[zone] ?: 0) + if (zone in open) extra else 0
            count.coerceIn(state.rule.minimum, state.rule.maximum)
        }
    }

    private fun isRefused(state: State, zone: AvailabilityZone): Boolean {
        val last = orders[OrderKey(state.service, zone, true)] ?: return false
        return !last.isAccepted && state.now - last.at < REFUSAL_MEMORY
    }

    private fun reclaimableOrder(state: State, zone: AvailabilityZone, count: Int, usual: Int): CapacityOrder? {
        val order = CapacityOrder(state.service, zone, count, isReclaimable = true)
        val last = orders[OrderKey(state.service, zone, true)] ?: return order
        val age = state.now - last.at
        val present = state.present(zone, isReclaimable = true)
        val isMissing = present < count
        val isDue =
            when {
                !last.isAccepted -> age >= if (present < usual) REFUSAL_PAUSE else REFUSAL_MEMORY
                last.desired != count -> true
                else -> isMissing && age >= state.rule.startupDuration + REORDER_MARGIN
            }
        return order.takeIf { isDue }
    }

    /** Orders servers that can't be taken away in place of what is missing, and gives back what is not needed. */
    private fun otherOrders(state: State, wanted: Int): List<CapacityOrder> {
        val zones = state.rule.pricesByAvailabilityZone.entries.sortedBy { it.value }.map { it.key }
        val present = zones.associateWith { state.present(it, isReclaimable = false) }
        val ordered = zones.associateWith { maxOf(present.getValue(it), coming(state, it, isReclaimable = false)) }
        val serving = zones.sumOf { state.warm(it) }
        val started = zones.sumOf { maxOf(state.present(it, true), coming(state, it, isReclaimable = true)) }
        val missing = wanted - started - ordered.values.sum()
        val surplus = present.values.sum() - maxOf(0, wanted - serving)
        return when {
            missing > 0 -> raised(state, zones, ordered, missing)
            surplus > 0 -> lowered(state, zones.reversed(), present, surplus)
            else -> emptyList()
        }
    }

    private fun raised(
        state: State,
        zones: List<AvailabilityZone>,
        ordered: Map<AvailabilityZone, Int>,
        missing: Int,
    ): List<CapacityOrder> {
        var left = missing
        return zones.mapNotNull { zone ->
            val known = ordered.getValue(zone)
            val room = state.rule.maximum - known - maxOf(state.present(zone, true), coming(state, zone, true))
            val more = minOf(left, maxOf(0, room), (missing + 1) / 2)
            left -= more
            if (more > 0) CapacityOrder(state.service, zone, known + more, isReclaimable = false) else null
        }
    }

    private fun lowered(
        state: State,
        zones: List<AvailabilityZone>,
        present: Map<AvailabilityZone, Int>,
        surplus: Int,
    ): List<CapacityOrder> {
        var left = surplus
        return zones.mapNotNull { zone ->
            val known = present.getValue(zone)
            val fewer = minOf(left, known)
            val last = orders[OrderKey(state.service, zone, false)]
            val isSettled = last == null || state.now - last.at >= RELEASE_PAUSE
            if (fewer == 0 || !isSettled) return@mapNotNull null
            left -= fewer
            CapacityOrder(state.service, zone, known - fewer, isReclaimable = false)
        }
    }

    /** Returns how many servers an order that was lately accepted will lead to. */
    private fun coming(state: State, zone: AvailabilityZone, isReclaimable: Boolean): Int {
        val last = orders[OrderKey(state.service, zone, isReclaimable)] ?: return 0
        val isRecent = state.now - last.at < state.rule.startupDuration + START_MARGIN
        return if (last.isAccepted && isRecent) last.desired else 0
    }

    private class State(
        val service: ServiceName,
        val rule: ScalingRule,
        private val servers: List<BackendServer>,
        val now: MonotonicTime,
    ) {
        fun present(zone: AvailabilityZone, isReclaimable: Boolean): Int =
            servers.count { it.availabilityZone == zone && it.isReclaimable == isReclaimable }

        fun warm(zone: AvailabilityZone): Int =
            servers.count { it.availabilityZone == zone && it.isReclaimable && !it.isCold(now) }
    }

    private data class OrderKey(val service: ServiceName, val zone: AvailabilityZone, val isReclaimable: Boolean)

    private class LastOrder(val desired: Int, val isAccepted: Boolean, val at: MonotonicTime)

    private companion object {
        val REFUSAL_MEMORY = 6.seconds
        val REFUSAL_PAUSE = 3.seconds
        val REORDER_MARGIN = 3.seconds
        val START_MARGIN = 2.seconds
        val RELEASE_PAUSE = 4.seconds
    }
}
