package org.yuccajunction.testing.platform

import kotlinx.serialization.Serializable
import org.yuccajunction.capacity.InstanceOrder
import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.model.InstanceId

/** Response body with the instances that were ordered and not stopped. */
@Serializable
internal data class OrderRows(val instances: List<InstanceOrder>)

/** Response body with the reclaim notices in effect. */
@Serializable
internal data class NoticeRows(val notices: List<ReclaimNotice>)

/** Instance orders and reclaim notices of the cloud, kept in memory. */
internal class CloudTable(private val nanoTime: () -> Long) {
    private val orders = LinkedHashMap<InstanceId, InstanceOrder>()
    private val notices = LinkedHashMap<InstanceId, Long>()

    /** Adds [order] unless an order of the same name exists; returns whether the order was added. */
    @Synchronized
    fun addOrder(order: InstanceOrder): Boolean = orders.putIfAbsent(order.name, order) == null

    /** Removes the order named [name]. */
    @Synchronized
    fun removeOrder(name: InstanceId) {
        orders.remove(name)
    }

    /** Returns all orders, oldest first. */
    @Synchronized
    fun orders(): OrderRows = OrderRows(orders.values.toList())

    /** Adds [notice] or replaces the earlier notice for the same instance. */
    @Synchronized
    fun addNotice(notice: ReclaimNotice) {
        notices[notice.instance] = nanoTime() + notice.remainingMillis * NANOSECONDS_IN_MILLISECOND
    }

    /** Removes the notice for the instance [name]. */
    @Synchronized
    fun removeNotice(name: InstanceId) {
        notices.remove(name)
    }

    /** Returns all notices with the time that remains now; 0 when the time has passed. */
    @Synchronized
    fun notices(): NoticeRows {
        val nowNanos = nanoTime()
        return NoticeRows(
            notices.map { (name, untilNanos) ->
                ReclaimNotice(name, maxOf(0, untilNanos - nowNanos) / NANOSECONDS_IN_MILLISECOND)
            },
        )
    }

    private companion object {
        const val NANOSECONDS_IN_MILLISECOND = 1_000_000L
    }
}
