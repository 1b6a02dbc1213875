package org.yuccajunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.yuccajunction.control.LogEvent
import org.yuccajunction.duty.CapacityOrder
import org.yuccajunction.duty.CapacityOrderPlanner
import org.yuccajunction.duty.DutyGrant
import org.yuccajunction.duty.DutyLease
import org.yuccajunction.duty.DutyReading
import org.yuccajunction.duty.ServiceDemand
import org.yuccajunction.duty.UncountedWindows
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.port.DutyCalls
import org.yuccajunction.port.DutyOutcome
import org.yuccajunction.quota.UsageWindows
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Performs the duties: the tasks that one entry performs for all entries while it holds a lease.
 *
 * The duties are to report usage to the platform and to order backend servers. Confined to the control thread.
 */
internal class Duties(
    private val controlPlane: ControlPlane,
    private val peers: PeerGossip,
    private val lease: DutyLease,
    private val calls: DutyCalls,
    private val windows: UsageWindows,
    private val entryName: String,
    private val log: DecisionLog,
) {
    private val orderPlanner = CapacityOrderPlanner()
    private val uncountedWindows = UncountedWindows(windows)
    private val reportedWindows = HashSet<Long>()
    private var leaseUnheldSince: MonotonicTime? = null
    private var heldFencingNumber: Long? = null
    private val startedAtMillis = System.currentTimeMillis()

    fun start(scope: CoroutineScope) {
        scope.launchRestarting(log, "duties") {
            while (true) {
                delay(DUTY_INTERVAL)
                if (controlPlane.isReady()) performDuties()
            }
        }
    }

    private suspend fun performDuties() {
        uncountedWindows.recordEra(lease.storeEra, System.currentTimeMillis(), lease.unreadableRecords)
        val highestPeerNumber = peers.table.livePeers(controlPlane.now()).map { it.dutyFencingNumber }.maxOrNull() ?: 0
        if (highestPeerNumber > (lease.fencingNumber ?: 0)) {
            lease.clearCache()
            leaseUnheldSince = null
            return recordLeaseState()
        }
        if (!lease.isPresumedHolder) tryToAcquireLease()
        recordLeaseState()
        if (!lease.isPresumedHolder) return
        reportUsage()
        orderCapacity()
        if (lease.renewalAge.let { it == null || it >= LONGEST_RENEWAL_INTERVAL }) lease.renew()
    }

    /**
     * Takes the lease over if no entry has held it for [TAKEOVER_AFTER].
     *
     * Only the ready entry whose name sorts first does so, to avoid conflicting writes. It reads the record at once, so
     * that the delay before its first call has mostly passed when it takes over.
     */
    private suspend fun tryToAcquireLease() {
        val now = controlPlane.now()
        val first = peers.table.livePeers(now).filter { it.isReady }.minOfOrNull { it.name }
        if (first != null && first < entryName) {
            leaseUnheldSince = leaseUnheldSince ?: now
            return lease.clearCache()
        }
        val since = leaseUnheldSince
        if (since == null) {
            leaseUnheldSince = now
            lease.clearCache()
        }
        lease.readRecord()
        if (since != null && now - since >= TAKEOVER_AFTER) lease.takeOver()
    }

    private fun recordLeaseState() {
        val number = if (lease.isPresumedHolder) lease.fencingNumber ?: heldFencingNumber else null
        if (number == heldFencingNumber) return
        if (number != null) {
            orderPlanner.clearOrders()
            log.write(LogEvent.DUTIES_TAKEN) { field("number", number) }
        } else {
            log.write(LogEvent.DUTIES_LOST) { field("number", heldFencingNumber) }
        }
        heldFencingNumber = number
    }

    private suspend fun reportUsage() {
        val settled = System.currentTimeMillis() - USAGE_SETTLING_MILLIS
        val last = windows.windowAt(settled) - 1
        for (window in last - 1..last) {
            val isKnown = windows.endMillis(window) > startedAtMillis
            if (isKnown && window !in reportedWindows) reportWindow(window)
        }
        reportedWindows.removeIf { it < last - REMEMBERED_WINDOWS }
    }

    private suspend fun reportWindow(window: Long) {
        val counted = if (window in uncountedWindows) mapOf(window to peers.usageTotals.total(window)) else emptyMap()
        val grant = lease.renew(totals = counted) ?: return
        val counts = grant.record.totals[window] ?: return withholdReport(window)
        if (!grant.isValid(leaseNow())) return
        val outcome = calls.reportUsage(grant.fencingNumber, window, counts)
        if (outcome is DutyOutcome.Accepted) reportedWindows += window
        log.write(LogEvent.USAGE_ANSWERED) {
            field("window", window)
            field("number", grant.fencingNumber)
            field("counts", counts)
            field("outcome", outcome)
        }
    }

    private fun withholdReport(window: Long) {
        reportedWindows += window
        log.write(LogEvent.USAGE_WITHHELD) {
            field("window", window)
            field("era", lease.storeEra)
        }
    }

    private suspend fun orderCapacity() {
        val services = controlPlane.fleet.configuration?.services?.values.orEmpty().filter { it.scaling != null }
        for (service in services) {
            val servers = controlPlane.fleet.candidates(service.name)
            val baseline = baseline(service.name) ?: continue
            val demand = peers.demand(service.name)
            val kept = serversOfMove(service.name)
            val due = orderPlanner.dueOrders(service, servers, baseline, demand, controlPlane.now(), kept)
            if (due.isEmpty()) continue
            val recorded = mapOf(service.name.value to baseline.mapKeys { it.key.value })
            val grant = lease.renew(baseline = recorded) ?: return
            due.take(MAX_ORDERS_PER_INTERVAL).forEach { placeOrder(grant, it, demand) }
        }
    }

    /** Returns the servers of [service] while it moves to another version: an order counts both versions as one. */
    private fun serversOfMove(service: ServiceName): List<BackendServer> {
        val fleet = controlPlane.fleet
        val isMoving = service in fleet.versions.trials || service in fleet.versions.withheld
        return if (isMoving) fleet.servers.values.filter { it.service == service && !it.isDraining } else emptyList()
    }

    private suspend fun placeOrder(grant: DutyGrant, order: CapacityOrder, demand: ServiceDemand) {
        if (!grant.isValid(leaseNow())) return
        val outcome = calls.order(grant.fencingNumber, order)
        orderPlanner.recordAnswer(order, outcome is DutyOutcome.Accepted, controlPlane.now())
        log.write(LogEvent.CAPACITY_ANSWERED) {
            field("order", order)
            field("openRequests", demand.openRequests)
            field("busyServers", demand.busyServers)
            field("number", grant.fencingNumber)
            field("outcome", outcome)
        }
    }

    /** Returns the number of servers of [service] by availability zone before the first order; null where unknown. */
    private suspend fun baseline(service: ServiceName): Map<AvailabilityZone, Int>? {
        val record = (lease.readRecord() as? DutyReading.Found)?.record ?: return null
        record.baseline[service.value]?.let { known -> return known.mapKeys { AvailabilityZone(it.key) } }
        return controlPlane.fleet.servers.values
            .filter { it.service == service && !it.isDraining }
            .groupingBy { it.availabilityZone }
            .eachCount()
            .ifEmpty { null }
    }

    private fun leaseNow(): MonotonicTime = lease.now()

    private companion object {
        val DUTY_INTERVAL = 500.milliseconds
        val TAKEOVER_AFTER = 2.seconds

        /** Time without a renewal after which the holder renews, to notice early that it does not reach the store. */
        val LONGEST_RENEWAL_INTERVAL = 2.seconds
        const val USAGE_SETTLING_MILLIS = 1_800L
        const val REMEMBERED_WINDOWS = 6
        const val MAX_ORDERS_PER_INTERVAL = 8
    }
}
