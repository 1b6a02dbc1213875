package org.yuccajunction.testing.engine

import org.yuccajunction.port.ServerOrder
import org.yuccajunction.testing.ServerLoad
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** State of the model engine stand-in. */
internal class EngineState(val settings: ModelEngineSettings) {
    val load = ServerLoad(settings.coldMillis, settings.coldRequestLimit, settings.reportLagMillis)
    val cache = PrefixCache(settings.cacheBlocks, settings.cacheEventGap)
    val ledger = RequestLedger()

    /** Requests in execution by attempt id, whose KV cache can be exported. */
    val activeRequests: MutableMap<String, RequestRecord> = ConcurrentHashMap()

    /** Handles of the KV caches that were imported. */
    val importedHandles: MutableSet<String> = Collections.newSetFromMap(ConcurrentHashMap())

    private val requests = AtomicInteger()
    private val orders = ArrayList<OrderRow>()

    @Volatile
    var faults = ModelEngineFaults()

    /** Returns the faults that apply to the arriving request of [priority]. */
    @Synchronized
    fun faultsForNextRequest(priority: Int): ModelEngineFaults {
        val current = faults
        if (current.badPriority != null && current.badPriority != priority) return ModelEngineFaults()
        val remaining = current.remaining ?: return current
        if (remaining == 0) return ModelEngineFaults()
        faults = current.copy(remaining = remaining - 1)
        return current
    }

    /** Returns whether the arriving request belongs to the evenly spread share [failShare] of requests that fail. */
    fun failsNextRequest(failShare: Double): Boolean {
        val number = requests.getAndIncrement()
        return ((number + 1) * failShare).toLong() > (number * failShare).toLong()
    }

    /**
     * Records [order] and returns whether the engine accepts the order.
     *
     * With fencing checks on, an order with a lower fencing number than an accepted one is rejected.
     */
    @Synchronized
    fun acceptOrder(order: ServerOrder, fencingNumber: Long): Boolean {
        val highestFencingNumber = orders.filter { it.taken }.maxOfOrNull { it.fencingNumber } ?: 0
        val isAccepted = !settings.checksFencing || fencingNumber >= highestFencingNumber
        orders += OrderRow(order, fencingNumber, isAccepted, System.currentTimeMillis())
        return isAccepted
    }

    /** Returns all orders, accepted or not. */
    @Synchronized
    fun orderLedger(): OrderLedger = OrderLedger(orders.toList())
}
