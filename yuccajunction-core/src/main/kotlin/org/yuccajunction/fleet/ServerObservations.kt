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
    private val traffic = HashMap<ServiceName, ServiceTraffic>()
    private val loadsByIncarnation = HashMap<Int, ServerLoad>()
    private val work = HashMap<ServiceName, WorkMeter>()
    internal val prompts = PromptCaches()
    internal val costs = ServerCostEstimator(settings, availabilityZone)

    internal fun load(server: BackendServerId): ServerLoad? = loads[server]

    /**
     * Replaces the listed servers by those of [snapshot]; the load of a server that has restarted begins empty.
     *
     * Returns the servers that are new or have restarted.
     */
    internal fun update(snapshot: FleetSnapshot, now: MonotonicTime): List<BackendServerId> {
        val emptySince = now.takeIf { loads.isNotEmpty() }
        loads.keys.retainAll(snapshot.servers.keys)
        snapshot.configuration?.let {
            costs.retainServices(it.services.keys)
            work.keys.retainAll(it.services.keys)
            prompts.retainServices(it.services.keys)
        }
        val changed = addUnknown(snapshot, now, emptySince)
        if (changed.isNotEmpty() || loadsByIncarnation.size != loads.size) {
            traffic.keys.retainAll(loads.values.mapTo(HashSet()) { it.server.service })
            loadsByIncarnation.clear()
            loads.values.associateByTo(loadsByIncarnation) { it.incarnationHash }
        }
        return changed
    }

    private fun addUnknown(
        snapshot: FleetSnapshot,
        now: MonotonicTime,
        emptySince: MonotonicTime?,
    ): List<BackendServerId> =
        snapshot.servers.values.filterNot { isKnown(it) }.map { server ->
            loads[server.id] =
                ServerLoad(server, kvCacheTokens(snapshot, server), now, traffic(server.service, now), emptySince)
            server.id
        }

    internal fun traffic(service: ServiceName, now: MonotonicTime): ServiceTraffic =
        traffic.getOrPut(service) { ServiceTraffic(now, settings.paceValidity) }

    /**
     * Returns what this entry reports of the servers that report their pace: the newest reports, a few of them.
     *
     * Reports of peers are passed on, so that a report reaches entries to which its first receiver sends no heartbeat.
     */
    public fun newest(now: MonotonicTime): List<ServerObservation> {
        if (traffic.values.none { it.isPaced }) return emptyList()
        return loads.values
            .filter { it.isPaced && it.reported.ageMillis(now) < SHARED_AGE_MILLIS }
            .sortedBy { it.reported.ageMillis(now) }
            .take(MAX_SHARED)
            .mapNotNull { it.reported.observation(it.incarnationHash, now) }
    }

    /** Records what a peer has observed of servers that are listed here; returns how many reports were new. */
    public fun recordPeer(observations: List<ServerObservation>, now: MonotonicTime): Int =
        observations.count { loadsByIncarnation[it.server]?.recordPeerObservation(it, now) ?: false }

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
        traffic(load.server.service, now).recordRequest(costs.idleMillis(request, ticket.prefillTokens), now)
        load.inFlight += 1
        if (!request.route.mayRepeat) load.inFlightUnrepeatable += 1
        load.pendingPrefillTokens += ticket.prefillTokens
        load.inFlightTokens += ticket.runningTokens
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
        onPrediction(load.server.service, prediction.millis * load.speedFactor(now), elapsedMillis)
        load.recordLatencyRatio(elapsedMillis / prediction.millis)
        if (load.isPaced) return learnPaced(load, prediction, elapsedMillis, now)
        if (!load.server.isCold(now)) costs.learn(load.server.service, prediction, elapsedMillis)
    }

    /** Learns what an answer shows of the speed of the server and of the service, each without the other. */
    private fun learnPaced(load: ServerLoad, prediction: LatencyPrediction, millis: Double, now: MonotonicTime) {
        val slot = (prediction as? LatencyPrediction.FirstEvent)?.slotMillis ?: 0.0
        if (slot > prediction.millis * MAX_SLOT_FRACTION) return
        val pace = load.reported.pace(now)
        load.reported.recordOwnRatio(millis / (prediction.millis * pace))
        val usualMillis = maxOf(LEAST_LEARNED_MILLIS, millis / pace - slot)
        if (!load.server.isCold(now)) costs.learn(load.server.service, prediction, usualMillis)
    }

    /** Records that [server] has sent something. */
    internal fun recordActivity(server: BackendServerId, now: MonotonicTime) {
        loads[server]?.lastReceivedAt = now
    }

    /** Records the load that [server] reports. */
    internal fun recordLoadReport(server: BackendServerId, report: LoadReport, now: MonotonicTime) {
        val load = loads[server] ?: return
        load.recordLoadReport(report, now)
        if (report.pacePercent != null) prompts.recordPace(load.server.service, now)
    }

    /** Records the end of the attempt of [ticket], see [LoadBalancer.endAttempt]. */
    internal fun recordEnd(load: ServerLoad, ticket: AttemptTicket, end: AttemptEnd?, now: MonotonicTime) {
        load.inFlight = maxOf(0, load.inFlight - 1)
        if (end == null) load.reported.traffic.recordResidence(now - ticket.startedAt)
        load.inFlightTokens = maxOf(0, load.inFlightTokens - ticket.runningTokens)
        if (ticket.route?.mayRepeat == false) load.inFlightUnrepeatable = maxOf(0, load.inFlightUnrepeatable - 1)
        if (!ticket.hasAnswer) load.pendingPrefillTokens = maxOf(0, load.pendingPrefillTokens - ticket.prefillTokens)
        load.recordOutcome(failureWeight(end, load), now)
        if (end == AttemptEnd.REJECTED) load.reported.wasRejected = true
        if (end == AttemptEnd.UNREACHABLE || end == AttemptEnd.SILENT || end == AttemptEnd.MISPLACED) {
            load.suspectUntil = now + settings.suspicionTime
        }
    }

    private fun failureWeight(end: AttemptEnd?, load: ServerLoad): Double =
        when (end) {
            null -> 0.0
            AttemptEnd.REJECTED -> if (load.isPaced) load.rejectionWeight() else REJECTION_FAILURE_WEIGHT
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
        /** Most observations in a heartbeat: at 32 heartbeats a second and 17 to 26 bytes each, 8 cost 4 to 7 KB/s. */
        const val MAX_SHARED = 8

        const val LEAST_LEARNED_MILLIS = 1.0

        /** Part of a prediction that may be the wait for a slot, which says nothing of the speed of the server. */
        const val MAX_SLOT_FRACTION = 0.3

        /** Age beyond which a report says nothing that peers could use. */
        const val SHARED_AGE_MILLIS = 3_000.0

        /** Weight of a rejection, where a failure has weight 1. */
        const val REJECTION_FAILURE_WEIGHT = 0.5
    }
}
