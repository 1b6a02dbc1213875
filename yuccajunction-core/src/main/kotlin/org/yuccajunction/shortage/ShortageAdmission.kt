package org.yuccajunction.shortage

import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which requests are sent while demand exceeds the capacity of a service.
 *
 * The entries report to each other what was requested of them. Each derives from these reports and from the load of the
 * servers which fraction of the requests of each workspace and rank is admitted. Confined to the traffic thread.
 *
 * @param startedAt time of this entry's start
 * @param occupancy returns how full the servers of a service are; null for services whose servers report no pace, which
 *   are served as if there were no shortage
 * @param onUrgentReport is called when peers should get this entry's report at once
 * @param onRejections is called at most once a second and service with what was rejected
 */
public class ShortageAdmission(
    private val startedAt: MonotonicTime,
    private val random: Random,
    private val occupancy: (ServiceName, MonotonicTime) -> ServiceOccupancy?,
    private val onUrgentReport: () -> Unit = {},
    private val onRejections: (ShortageStatus) -> Unit = {},
) {
    private val services = HashMap<ServiceName, ServiceAdmission>()
    private var weights = WorkspaceWeights()
    private var entries = 1
    private var urgentReportAt: MonotonicTime? = null

    /** Returns whether [request] may be sent now. */
    public fun decide(request: ShortageRequest, now: MonotonicTime): AdmissionDecision {
        val occupied = occupancy(request.service, now) ?: return AdmissionDecision.Admit
        val admission = admission(request.service)
        return admission.decide(request, occupied, now)
    }

    /**
     * Reports to peers and logs rejections where that is due.
     *
     * This is called at times that do not depend on requests: the rate just after a request is above the mean.
     */
    public fun tick(now: MonotonicTime) {
        services.values.forEach { admission -> admission.rejections.take(now)?.let(onRejections) }
        if (urgentReportAt.let { it != null && now - it < urgentReportInterval() }) return
        if (services.none { (service, admission) -> isReportUrgent(service, admission, now) }) return
        urgentReportAt = now
        onUrgentReport()
    }

    /** Records that a request of [service] with this [work] has ended at a server. */
    public fun recordCompletion(service: ServiceName, work: Double, now: MonotonicTime) {
        services[service]?.meter?.recordCompletion(work, now)
    }

    /** Returns the demand at this entry for the next heartbeat. */
    public fun report(now: MonotonicTime): List<DemandReport> {
        val reported = services.entries.take(MAX_SERVICES)
        return reported.map { (service, admission) ->
            admission.meter.report(occupancy(service, now), now, MAX_ROWS / reported.size)
        }
    }

    /** Records the [reports] of the peer [entry]. */
    public fun recordPeer(entry: String, reports: List<DemandReport>, now: MonotonicTime) {
        for (report in reports.take(MAX_SERVICES)) {
            val name = ServiceName(report.service)
            val known = services[name] ?: if (occupancy(name, now) == null) continue else admission(name)
            known.fleet.recordPeer(entry, report, now)
        }
    }

    /** Forgets what entries other than [live] reported; this entry is one of [live]. */
    public fun retainPeers(live: Set<String>) {
        entries = maxOf(1, live.size)
        services.values.forEach { it.fleet.retainPeers(live) }
    }

    /** Replaces the workspaces, whose quotas are their weights, and forgets all services but those in [known]. */
    public fun update(workspaces: Collection<WorkspacePolicy>, known: Set<ServiceName>) {
        weights = WorkspaceWeights(workspaces)
        services.keys.retainAll(known)
    }

    private fun admission(service: ServiceName): ServiceAdmission =
        services.getOrPut(service) { ServiceAdmission(service, startedAt, random) { weights.of(it) } }

    private fun isReportUrgent(service: ServiceName, admission: ServiceAdmission, now: MonotonicTime): Boolean {
        val occupied = occupancy(service, now) ?: return false
        return admission.isShort || !occupied.hasRoom ||
            occupied.utilization > WATCHED_UTILIZATION && admission.meter.hasJumped(now)
    }

    /** Returns the least time between two reports to all peers, so that a peer gets a bounded number per second. */
    private fun urgentReportInterval(): Duration = maxOf(URGENT_REPORT_INTERVAL, URGENT_REPORT_TIME_PER_ENTRY * entries)

    private companion object {
        /** Greatest numbers of services and of workspaces of all services in one report. */
        const val MAX_SERVICES = 4
        const val MAX_ROWS = 64

        /** Utilization below which a jump of the demand does not matter. */
        const val WATCHED_UTILIZATION = 0.8
        val URGENT_REPORT_INTERVAL = 500.milliseconds

        /** Bounds the reports that an entry gets to 140 per second. */
        val URGENT_REPORT_TIME_PER_ENTRY = 7.milliseconds
    }
}
