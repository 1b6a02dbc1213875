package org.yuccajunction.testing.platform

import kotlinx.serialization.Serializable
import org.yuccajunction.capacity.InstanceOrder
import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.model.InstanceId

/** The answer to a listing of started instances. */
@Serializable
internal data class OrderRows(val instances: List<InstanceOrder>)

/** The answer to a listing of notices. */
@Serializable
internal data class NoticeRows(val notices: List<ReclaimNotice>)

/** What the cloud has started and announced. */
internal class CloudTable(private val nanoTime: () -> Long) {
    private val orders = LinkedHashMap<InstanceId, InstanceOrder>()
    private val notices = LinkedHashMap<InstanceId, Long>()

    /** Keeps [order]; returns whether its name is new. */
    @Synchronized
    fun addOrder(order: InstanceOrder): Boolean = orders.putIfAbsent(order.name, order) == null

    @Synchronized
    fun removeOrder(name: InstanceId) {
        orders.remove(name)
    }

    @Synchronized
    fun orders(): OrderRows = OrderRows(orders.values.toList())

    @Synchronized
    fun addNotice(notice: ReclaimNotice) {
        notices[notice.instance] = nanoTime() + notice.remainingMillis * NANOSECONDS_IN_MILLISECOND
    }

    @Synchronized
    fun removeNotice(name: InstanceId) {
        notices.remove(name)
    }

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
