package org.yuccajunction.duty

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.ScalingRule
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which servers to order: reclaimable ones in place of the others, in every availability zone.
 *
 * The others are given back in a zone once as many reclaimable ones serve there. What is lost in one zone is ordered in
 * the other zones until it is to be had there again. Confined to the control thread.
 */
public class CapacityOrders {
    private val orders = HashMap<OrderKey, LastOrder>()

    /**
     * Returns the orders that are due for [service].
     *
     * @param baseline servers that each availability zone had before the first order
     */
    public fun due(
        service: ForwardService,
        servers: Collection<BackendServer>,
        baseline: Map<AvailabilityZone, Int>,
        now: MonotonicTime,
    ): List<CapacityOrder> {
        val rule = service.scaling ?: return emptyList()
        val serving = servers.filter { it.service == service.name && !it.isLeaving }
        val wanted = wanted(service.name, rule, baseline, now)
        return wanted.flatMap { (zone, count) ->
            val inZone = serving.filter { it.zone == zone }
            listOfNotNull(
                reclaimable(service, rule, zone, count, inZone, now),
                others(service.name, zone, count, inZone, now),
            )
        }
    }

    /** An order was accepted or refused at [now]. */
    public fun answered(order: CapacityOrder, isAccepted: Boolean, now: MonotonicTime) {
        orders[OrderKey(order.service, order.zone, order.isReclaimable)] = LastOrder(order.desired, isAccepted, now)
    }

    /** Forgets all orders, as another entry may have ordered since. */
    public fun forget() {
        orders.clear()
    }

    private fun wanted(
        service: ServiceName,
        rule: ScalingRule,
        baseline: Map<AvailabilityZone, Int>,
        now: MonotonicTime,
    ): Map<AvailabilityZone, Int> {
        val zones = rule.zonePrices.keys
        val (closed, open) = zones.partition { isRefused(service, it, now) }
        val missing = closed.sumOf { baseline[it] ?: 0 }
        val extra = if (open.isEmpty()) 0 else (missing + open.size - 1) / open.size
        return zones.associateWith { zone ->
            val base = baseline[zone] ?: 0
            val count = if (zone in open) base + extra else base
            count.coerceIn(rule.minimum, rule.maximum)
        }
    }

    private fun isRefused(service: ServiceName, zone: AvailabilityZone, now: MonotonicTime): Boolean {
        val last = orders[OrderKey(service, zone, true)] ?: return false
        return !last.isAccepted && now - last.at < REFUSAL_MEMORY
    }

    private fun reclaimable(
        service: ForwardService,
        rule: ScalingRule,
        zone: AvailabilityZone,
        count: Int,
        inZone: List<BackendServer>,
        now: MonotonicTime,
    ): CapacityOrder? {
        val present = inZone.count { it.isReclaimable }
        val last = orders[OrderKey(service.name, zone, true)]
        val isNew = last == null || last.desired != count
        val isMissing = present < count && last != null && now - last.at >= rule.startTime + REORDER_MARGIN
        val isRetry = last != null && !last.isAccepted && now - last.at >= REFUSAL_PAUSE
        val isDue = if (last != null && !last.isAccepted) isRetry else isNew || isMissing
        return if (isDue) CapacityOrder(service.name, zone, count, isReclaimable = true) else null
    }

    private fun others(
        service: ServiceName,
        zone: AvailabilityZone,
        count: Int,
        inZone: List<BackendServer>,
        now: MonotonicTime,
    ): CapacityOrder? {
        val present = inZone.count { !it.isReclaimable }
        val replacements = inZone.count { it.isReclaimable && !it.isCold(now) }
        if (present == 0 || replacements < count) return null
        val last = orders[OrderKey(service, zone, false)]
        if (last != null && now - last.at < RELEASE_PAUSE) return null
        return CapacityOrder(service, zone, 0, isReclaimable = false)
    }

    private data class OrderKey(val service: ServiceName, val zone: AvailabilityZone, val isReclaimable: Boolean)

    private class LastOrder(val desired: Int, val isAccepted: Boolean, val at: MonotonicTime)

    private companion object {
        val REFUSAL_MEMORY = 6.seconds
        val REFUSAL_PAUSE = 3.seconds
        val REORDER_MARGIN = 3.seconds
        val RELEASE_PAUSE = 5.seconds
    }
}
