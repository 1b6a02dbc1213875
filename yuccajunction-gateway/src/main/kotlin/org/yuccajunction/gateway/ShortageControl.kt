package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.FleetSnapshot
import org.yuccajunction.fleet.LoadReport
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import org.yuccajunction.shortage.AdmissionDecision
import org.yuccajunction.shortage.OccupancyMeters
import org.yuccajunction.shortage.ShortageAdmission
import org.yuccajunction.shortage.ShortageRequest
import org.yuccajunction.shortage.ShortageStatus
import kotlin.time.DurationUnit

/**
 * Hands [ShortageAdmission] the requests, answers and load reports of this entry, and logs its rejections.
 *
 * Confined to the traffic thread.
 */
internal class ShortageControl(private val dataPlane: DataPlane) {
    private val occupancies = OccupancyMeters()

    /** Learned time in milliseconds for which a request of a route occupies a slot. */
    private val slotMillis = HashMap<String, Double>()
    val admission =
        ShortageAdmission(
            dataPlane.now(),
            dataPlane.random,
            occupancies::occupancy,
            dataPlane::reportUrgently,
            ::log,
        )

    /** Returns whether [request] may be sent now; counts a rejection. */
    fun decide(request: ForwardRequest, now: MonotonicTime): AdmissionDecision {
        val decision =
            admission.decide(
                ShortageRequest(
                    request.service,
                    request.workspace,
                    request.rank,
                    workOf(request.route),
                    RendezvousHash.hash(request.id),
                    request.route.latencyTarget,
                    remaining = request.deadline - now,
                ),
                now,
            )
        if (decision is AdmissionDecision.Reject) dataPlane.metrics.requestRejectedForShortage(request)
        return decision
    }

    /** Records the [report] of [server]; only those with a pace make admission under shortage active. */
    fun recordLoadReport(server: BackendServer, report: LoadReport, now: MonotonicTime) {
        if (report.pacePercent == null || server.isPeerEntry) return
        val running = report.running ?: return
        occupancies.record(server.service, running, report.waiting ?: 0, report.slots ?: server.slots, now)
    }

    /** Records that a server has answered [attempt] whole. */
    fun answered(attempt: ServerAttempt, now: MonotonicTime) {
        if (attempt.server.isPeerEntry) return
        val request = attempt.exchange.request
        admission.recordCompletion(request.service, workOf(request.route), now)
        if (occupancies.occupancy(request.service, now)?.hasRoom == true) learn(attempt, now)
    }

    /** Learns the slot time of the route of [attempt], which has not waited at the server. */
    private fun learn(attempt: ServerAttempt, now: MonotonicTime) {
        val route = attempt.exchange.request.route
        val millis = (now - attempt.startedAt).toDouble(DurationUnit.MILLISECONDS)
        slotMillis.merge(route.name, millis) { known, measured -> known + (measured - known) * SMOOTHING_FACTOR }
    }

    private fun workOf(route: ForwardRoute): Double =
        slotMillis[route.name] ?: route.latencyTarget.toDouble(DurationUnit.MILLISECONDS)

    /** Uses the workspaces and services of [fleet] from now on. */
    fun update(fleet: FleetSnapshot) {
        val configuration = fleet.configuration ?: return
        occupancies.retainServices(configuration.services.keys)
        slotMillis.keys.retainAll(configuration.routes.mapTo(HashSet()) { it.name })
        admission.update(configuration.workspaces, configuration.services.keys)
    }

    private fun log(status: ShortageStatus) =
        dataPlane.log.write(LogEvent.CAPACITY_SHORT) {
            field("service", status.service)
            field("rejected", status.rejected.toSortedMap().entries.joinToString(",") { "rank ${it.key}: ${it.value}" })
            field("admittedFraction", status.terms.admittedFraction)
            field("demand", status.terms.demand.toLong())
            field("capacity", status.terms.capacity.toLong())
            field("budget", status.terms.budget.toLong())
            field("waitMillis", status.terms.waitMillis.toLong())
        }

    private companion object {
        const val SMOOTHING_FACTOR = 0.05
    }
}
