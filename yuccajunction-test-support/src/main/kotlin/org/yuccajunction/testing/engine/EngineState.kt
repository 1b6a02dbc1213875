package org.yuccajunction.testing.engine

import org.yuccajunction.port.ServerOrder
import org.yuccajunction.testing.ServerLoad
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Everything that the model engine stand-in keeps. */
internal class EngineState(val settings: ModelEngineSettings) {
    val load = ServerLoad(settings.coldMillis, settings.coldRequestLimit, settings.reportLagMillis)
    val cache = PrefixCache(settings.cacheBlocks, settings.cacheEventGap)
    val ledger = RequestLedger()

    /** Requests that run now, by attempt, for the export of their KV cache. */
    val activeRequests: MutableMap<String, RequestRecord> = ConcurrentHashMap()

    /** Handles that were imported here. */
    val importedHandles: MutableSet<String> = Collections.newSetFromMap(ConcurrentHashMap())

    private val requests = AtomicInteger()
    private val orders = ArrayList<OrderRow>()

    @Volatile
    var faults = ModelEngineFaults()

    /** Returns the faults that apply to the request now arriving with [priority]. */
    @Synchronized
    fun faultsForNextRequest(priority: Int): ModelEngineFaults {
        val current = faults
        if (current.badPriority != null && current.badPriority != priority) return ModelEngineFaults()
        val remaining = current.remaining ?: return current
        if (remaining == 0) return ModelEngineFaults()
        faults = current.copy(remaining = remaining - 1)
        return current
    }

    /** Returns whether the request now arriving is among the share [failShare], spread evenly. */
    fun failsNextRequest(failShare: Double): Boolean {
        val number = requests.getAndIncrement()
        return ((number + 1) * failShare).toLong() > (number * failShare).toLong()
    }

    @Synchronized
    fun acceptOrder(order: ServerOrder, fencingNumber: Long): Boolean {
        val highestFencingNumber = orders.filter { it.taken }.maxOfOrNull { it.fencingNumber } ?: 0
        val isAccepted = !settings.checksFencing || fencingNumber >= highestFencingNumber
        orders += OrderRow(order, fencingNumber, isAccepted, System.currentTimeMillis())
        return isAccepted
    }

    @Synchronized
    fun orderLedger(): OrderLedger = OrderLedger(orders.toList())
}
