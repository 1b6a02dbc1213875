package org.yuccajunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccajunction.allowance.UsageWindows
import org.yuccajunction.control.LogEvent
import org.yuccajunction.duty.CapacityOrder
import org.yuccajunction.duty.CapacityOrderPlanner
import org.yuccajunction.duty.DutyGrant
import org.yuccajunction.duty.DutyLease
import org.yuccajunction.duty.DutyReading
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.port.DutyCalls
import org.yuccajunction.port.DutyOutcome
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Performs the duties that one entry does at a time: reports of usage and orders of backend servers.
 *
 * Confined to the control thread.
 */
internal class Duties(
    private val control: Control,
    private val peers: Peers,
    private val lease: DutyLease,
    private val calls: DutyCalls,
    private val windows: UsageWindows,
    private val name: String,
    private val log: DecisionLog,
) {
    private val orders = CapacityOrderPlanner()
    private val reported = HashSet<Long>()
    private var unheldSince: MonotonicTime? = null
    private var heldNumber: Long? = null
    private val startedAtMillis = System.currentTimeMillis()

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(INTERVAL)
                if (control.isReady()) step()
            }
        }
    }

    private suspend fun step() {
        val rival = peers.table.livePeers(control.now()).map { it.dutyFencingNumber }.maxOrNull() ?: 0
        if (rival > (lease.fencingNumber ?: 0)) {
            lease.clearCache()
            unheldSince = null
            return noteHolding()
        }
        if (!lease.isPresumedHolder) tryToHold()
        noteHolding()
        if (!lease.isPresumedHolder) return
        reportUsage()
        orderCapacity()
    }

    /** The first of the live entries takes over what nobody has held for a while. */
    private suspend fun tryToHold() {
        val now = control.now()
        val since = unheldSince ?: now.also { unheldSince = it }
        val first = peers.table.livePeers(now).filter { it.isReady }.minOfOrNull { it.name }
        if (now - since < TAKEOVER_AFTER || first != null && first < name) return
        lease.clearCache()
        lease.takeOver()
    }

    private fun noteHolding() {
        val number = if (lease.isPresumedHolder) lease.fencingNumber ?: heldNumber else null
        if (number == heldNumber) return
        if (number != null) {
            orders.clearOrders()
            log.write(LogEvent.DUTIES_TAKEN) { field("number", number) }
        } else {
            log.write(LogEvent.DUTIES_LOST) { field("number", heldNumber) }
        }
        heldNumber = number
    }

    private suspend fun reportUsage() {
        val settled = System.currentTimeMillis() - SETTLING_MILLIS
        val last = windows.windowAt(settled) - 1
        for (window in last - 1..last) {
            val isKnown = windows.endOf(window) > startedAtMillis
            if (isKnown && window !in reported) report(window)
        }
        reported.removeIf { it < last - KEPT_WINDOWS }
    }

    private suspend fun report(window: Long) {
        val counted = peers.totals.total(window)
        val grant = lease.renew(totals = mapOf(window to counted)) ?: return
        val counts = grant.record.totals[window] ?: return
        if (!grant.isValid(leaseNow())) return
        val outcome = calls.reportUsage(grant.fencingNumber, window, counts)
        if (outcome is DutyOutcome.Accepted) reported += window
        log.write(LogEvent.USAGE_ANSWERED) {
            field("window", window)
            field("number", grant.fencingNumber)
            field("counts", counts)
            field("outcome", outcome)
        }
    }

    private suspend fun orderCapacity() {
        val services = control.table.configuration?.services?.values.orEmpty().filter { it.scaling != null }
        for (service in services) {
            val servers = control.table.candidates(service.name)
            val baseline = baseline(service.name) ?: continue
            val due = orders.dueOrders(service, servers, baseline, peers.openRequests(service.name), control.now())
            if (due.isEmpty()) continue
            val recorded = mapOf(service.name.value to baseline.mapKeys { it.key.value })
            val grant = lease.renew(baseline = recorded) ?: return
            due.take(MAX_ORDERS).forEach { order(grant, it) }
        }
    }

    private suspend fun order(grant: DutyGrant, order: CapacityOrder) {
        if (!grant.isValid(leaseNow())) return
        val outcome = calls.order(grant.fencingNumber, order)
        orders.recordAnswer(order, outcome is DutyOutcome.Accepted, control.now())
        log.write(LogEvent.CAPACITY_ANSWERED) {
            field("order", order)
            field("number", grant.fencingNumber)
            field("outcome", outcome)
        }
    }

    /** Returns how many servers of [service] each availability zone had before the first order. */
    private suspend fun baseline(service: ServiceName): Map<AvailabilityZone, Int>? {
        val record = (lease.readRecord() as? DutyReading.Found)?.record ?: return null
        record.baseline[service.value]?.let { known -> return known.mapKeys { AvailabilityZone(it.key) } }
        return control.table.servers.values
            .filter { it.service == service && !it.isLeaving }
            .groupingBy { it.zone }
            .eachCount()
            .ifEmpty { null }
    }

    private fun leaseNow(): MonotonicTime = lease.now()

    private companion object {
        val INTERVAL = 500.milliseconds
        val TAKEOVER_AFTER = 2.seconds
        const val SETTLING_MILLIS = 1_800L
        const val KEPT_WINDOWS = 6
        const val MAX_ORDERS = 8
    }
}
