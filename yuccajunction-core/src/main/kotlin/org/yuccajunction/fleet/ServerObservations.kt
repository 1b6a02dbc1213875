package org.yuccajunction.fleet

import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * What one entry has observed of the backend servers: their load reports, the outcomes of attempts and their speed.
 *
 * Confined to the traffic thread.
 *
 * @param onPrediction gets the predicted and the measured milliseconds of each first event or whole answer
 */
public class ServerObservations internal constructor(
    private val settings: LoadBalancingSettings,
    availabilityZone: AvailabilityZone,
    private val onPrediction: (service: ServiceName, predictedMillis: Double, measuredMillis: Double) -> Unit,
) {
    private val loads = HashMap<BackendServerId, ServerLoad>()
    private val work = HashMap<ServiceName, WorkMeter>()
    internal val costs = ServerCostEstimator(settings, availabilityZone)

    internal fun load(server: BackendServerId): ServerLoad? = loads[server]

    /**
     * Replaces the listed servers by those of [snapshot]; the load of a server that has restarted begins empty.
     *
     * Returns the servers that are new or have restarted.
     */
    internal fun update(snapshot: FleetSnapshot, now: MonotonicTime): List<BackendServerId> {
        loads.keys.retainAll(snapshot.servers.keys)
        snapshot.configuration?.let {
            costs.retainServices(it.services.keys)
            work.keys.retainAll(it.services.keys)
        }
        return snapshot.servers.values.filterNot { isKnown(it) }.map { server ->
            loads[server.id] = ServerLoad(server, kvCacheTokens(snapshot, server), now)
            server.id
        }
    }

    private fun isKnown(server: BackendServer): Boolean {
        val known = loads[server.id]?.takeIf { it.server.isSameIncarnation(server) } ?: return false
        known.server = server
        return true
    }

    private fun kvCacheTokens(snapshot: FleetSnapshot, server: BackendServer): Long =
        snapshot.configuration
            ?.services
            ?.get(server.service)
            ?.engine
            ?.kvCacheTokens ?: 0L

    /** Counts an attempt that is being sent, and the work that it makes for the server. */
    internal fun recordAttempt(load: ServerLoad, ticket: AttemptTicket, request: ForwardRequest, now: MonotonicTime) {
        costs.workMillis(load, request, ticket.prefillTokens)?.let { millis ->
            work.getOrPut(load.server.service) { WorkMeter(now) }.add(millis, now)
        }
        load.inFlight += 1
        if (!request.route.mayRepeat) load.inFlightUnrepeatable += 1
        load.pendingPrefillTokens += ticket.prefillTokens
        load.prefixCache.remember(request.promptParts)
    }

    /** Records that the first event or the whole answer of an attempt has arrived; a later call counts as activity. */
    internal fun recordFirstAnswer(ticket: AttemptTicket, now: MonotonicTime) {
        val load = loads[ticket.server] ?: return
        load.lastReceivedAt = now
        if (ticket.hasAnswer) return
        ticket.hasAnswer = true
        load.pendingPrefillTokens = maxOf(0, load.pendingPrefillTokens - ticket.prefillTokens)
        val elapsedMillis = (now - ticket.startedAt).toDouble(DurationUnit.MILLISECONDS)
        val prediction = ticket.prediction ?: return
        onPrediction(load.server.service, prediction.millis * load.latencyRatio, elapsedMillis)
        load.recordLatencyRatio(elapsedMillis / prediction.millis)
        if (!load.server.isCold(now)) costs.learn(load.server.service, prediction, elapsedMillis)
    }

    /** Records that [server] has sent something. */
    internal fun recordActivity(server: BackendServerId, now: MonotonicTime) {
        loads[server]?.lastReceivedAt = now
    }

    /** Records the load that [server] reports. */
    internal fun recordLoadReport(server: BackendServerId, report: LoadReport, now: MonotonicTime) {
        loads[server]?.recordLoadReport(report, now)
    }

    /** Records the end of the attempt of [ticket], see [LoadBalancer.endAttempt]. */
    internal fun recordEnd(load: ServerLoad, ticket: AttemptTicket, end: AttemptEnd?, now: MonotonicTime) {
        load.inFlight = maxOf(0, load.inFlight - 1)
        if (ticket.route?.mayRepeat == false) load.inFlightUnrepeatable = maxOf(0, load.inFlightUnrepeatable - 1)
        if (!ticket.hasAnswer) load.pendingPrefillTokens = maxOf(0, load.pendingPrefillTokens - ticket.prefillTokens)
        load.recordOutcome(failureWeight(end), now)
        if (end == AttemptEnd.UNREACHABLE || end == AttemptEnd.SILENT || end == AttemptEnd.MISPLACED) {
            load.suspectUntil = now + settings.suspicionTime
        }
    }

    private fun failureWeight(end: AttemptEnd?): Double =
        when (end) {
            null -> 0.0
            AttemptEnd.REJECTED -> REJECTION_FAILURE_WEIGHT
            else -> 1.0
        }

    /** Returns how busy the servers of [service] are that have reported their load. */
    public fun congestion(service: ServiceName, now: MonotonicTime): ServiceCongestion {
        val reported = loads.values.filter { it.server.service == service && it.lastReport != null }
        return ServiceCongestion(
            servers = reported.size,
            running = reported.sumOf { it.lastReport?.running ?: 0 },
            waiting = reported.sumOf { it.lastReport?.waiting ?: 0 },
            slots = reported.sumOf { it.lastReport?.slots ?: it.server.slots },
            ageMillis = reported.sumOf { it.knowledgeAgeMillis(now) } / maxOf(1, reported.size),
        )
    }

    /** Returns the number of this entry's open attempts, by service. */
    public fun openRequests(): Map<ServiceName, Int> =
        loads.values
            .groupBy { it.server.service }
            .mapValues { (_, servers) -> servers.sumOf { it.inFlight } }

    /** Returns this entry's open attempts at servers of [service] with another version than [target]. */
    public fun openAtOtherVersions(service: ServiceName, target: String): OpenAttempts {
        val others = loads.values.filter { it.server.service == service && it.server.version != target }
        return OpenAttempts(others.sumOf { it.inFlight }, others.sumOf { it.inFlightUnrepeatable })
    }

    /** Returns the number of servers that this entry's requests keep busy on average, by service. */
    public fun busyServers(now: MonotonicTime): Map<ServiceName, Double> =
        work.mapValues { it.value.busyServers(now) }

    /** Returns whether [server] has sent nothing for the silence timeout, which begins at [since] at the earliest. */
    public fun isSilent(server: BackendServerId, since: MonotonicTime, now: MonotonicTime): Boolean {
        val load = loads[server] ?: return true
        val usual = costs.longFirstEventMillis(load.server.service).milliseconds
        return now - maxOf(load.lastReceivedAt, since) >= maxOf(settings.silenceTimeout, usual)
    }

    private companion object {
        /** Weight of a rejection, where a failure has weight 1. */
        const val REJECTION_FAILURE_WEIGHT = 0.5
    }
}
