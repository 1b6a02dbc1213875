package org.yuccajunction.fleet

import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.routing.RendezvousHash
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The loads of all backend servers as one entry sees them, and the choice among them.
 *
 * Confined to the traffic thread.
 */
public class LoadBalancer(
    private val entry: String,
    availabilityZone: AvailabilityZone,
    private val random: Random,
    private val settings: LoadBalancingSettings = LoadBalancingSettings(),
) {
    private val loads = HashMap<BackendServerId, ServerLoad>()
    private val costs = ServerCostEstimator(settings, availabilityZone)
    private val coldStarts = ColdStartLimiter(entry)
    private var snapshot = FleetSnapshot()

    /** Takes over a newer [snapshot]; a server that has started anew is known to hold nothing. */
    public fun update(snapshot: FleetSnapshot, now: MonotonicTime) {
        this.snapshot = snapshot
        loads.keys.retainAll(snapshot.servers.keys)
        coldStarts.retainServers(snapshot.servers.keys.mapTo(HashSet()) { it.value })
        for (server in snapshot.servers.values) {
            val known = loads[server.id]
            if (known != null && known.server.isSameIncarnation(server)) {
                known.server = server
            } else {
                loads[server.id] = ServerLoad(server, kvCacheTokens(server), now)
            }
        }
    }

    private fun kvCacheTokens(server: BackendServer): Long =
        snapshot.configuration
            ?.services
            ?.get(server.service)
            ?.engine
            ?.kvCacheTokens ?: 0L

    /** Chooses a server for one attempt, or says when to come back. */
    public fun choose(query: ServerQuery, now: MonotonicTime): ServerChoice {
        val all = snapshot.candidates(query.request.service).mapNotNull { loads[it.id] }
        if (all.isEmpty()) return ServerChoice.Refuse(RefusalCause.NO_SERVER, retryDelay(NO_SERVER_RETRY_MILLIS))
        val available = all.filter { it.server.id !in query.excluded && acceptsRequest(it, now) }
        val candidates = available.filterNot { it.isSuspect(now) }.ifEmpty { available }
        val cheapest = cheapest(candidates, query.request, now)
        val remainingMillis = (query.request.deadline - now).toDouble(DurationUnit.MILLISECONDS)
        if (cheapest == null || cheapest.second > remainingMillis * DEADLINE_FRACTION) {
            return ServerChoice.Refuse(RefusalCause.NO_CAPACITY, retryDelay(NO_CAPACITY_RETRY_MILLIS))
        }
        return ServerChoice.Use(cheapest.first.server)
    }

    private fun acceptsRequest(load: ServerLoad, now: MonotonicTime): Boolean {
        val service = snapshot.configuration?.services?.get(load.server.service) ?: return false
        val connections = maxOf(MIN_CONNECTIONS, service.maxConnections / maxOf(1, snapshot.entries.size))
        if (load.inFlight >= connections) return false
        return coldStarts.permits(load.server, service.coldRequestsPerSecond, snapshot.entries, now)
    }

    private fun cheapest(
        loads: List<ServerLoad>,
        request: ForwardRequest,
        now: MonotonicTime,
    ): Pair<ServerLoad, Double>? {
        if (loads.isEmpty()) return null
        val usualFailureFraction = loads.minOf { it.failureFraction(now) } + FAILURE_TOLERANCE_FRACTION
        val affinityServers = affinityServers(request)
        val sharedTokens = sharedTokens(request)
        return loads
            .map { load ->
                val cached = cachedTokens(load, request, affinityServers, sharedTokens)
                val predictedMillis = predictMillis(load, request, cached, now)
                val failureFactor = costs.failureFactor(load, usualFailureFraction, now)
                val rereadMillis = maxOf(0, sharedTokens - cached) * settings.rereadMillisPerToken
                val jitterFactor = 1.0 + random.nextDouble(JITTER_FRACTION)
                Triple(
                    load,
                    predictedMillis,
                    predictedMillis * failureFactor * jitterFactor + rereadMillis + costs.otherZoneMillis(load),
                )
            }.minBy { it.third }
            .let { it.first to it.second }
    }

    private fun predictMillis(load: ServerLoad, request: ForwardRequest, cached: Int, now: MonotonicTime): Double {
        if (!request.route.isStream) return costs.answerMillis(load, now)
        return costs.firstEventMillis(load, maxOf(0, request.promptTokens - cached), now)
    }

    /** Tokens that the server keeps, by this entry's memory or because all entries send such prompts there. */
    private fun cachedTokens(
        load: ServerLoad,
        request: ForwardRequest,
        affinityServers: List<BackendServerId>,
        sharedTokens: Int,
    ): Int {
        val known = load.prefixCache.cachedTokens(request.promptParts)
        val cachedFraction =
            PREFIX_AFFINITY_FRACTIONS.getOrNull(affinityServers.indexOf(load.server.id)) ?: return known
        return maxOf(known, (sharedTokens * cachedFraction).toInt())
    }

    private fun sharedPrefix(request: ForwardRequest): List<PromptPart> =
        if (request.route.isStream) request.promptParts.dropLast(1) else emptyList()

    private fun sharedTokens(request: ForwardRequest): Int = sharedPrefix(request).sumOf { it.tokens }

    /** The servers that all entries send prompts with the same shared start to, as long as they can take them. */
    private fun affinityServers(request: ForwardRequest): List<BackendServerId> {
        val last = sharedPrefix(request).lastOrNull() ?: return emptyList()
        val key = RendezvousHash.hash(last.id)
        val ranked =
            PriorityQueue<Pair<Long, BackendServerId>>(PREFIX_AFFINITY_FRACTIONS.size + 1, compareBy { it.first })
        for (server in snapshot.candidates(request.service)) {
            val load = loads[server.id] ?: continue
            ranked += RendezvousHash.score(load.hash, key) to server.id
            if (ranked.size > PREFIX_AFFINITY_FRACTIONS.size) ranked.remove()
        }
        return ranked.sortedByDescending { it.first }.map { it.second }
    }

    /** Counts an attempt of [request] that is being sent to [server]. */
    public fun beginAttempt(server: BackendServer, request: ForwardRequest, now: MonotonicTime): AttemptTicket {
        val load = loads[server.id] ?: return AttemptTicket(server.id, 0, now, 0.0)
        val cached = cachedTokens(load, request, affinityServers(request), sharedTokens(request))
        val prefillTokens = maxOf(0, request.promptTokens - cached)
        val ticket = AttemptTicket(server.id, prefillTokens, now, predictMillis(load, request, cached, now))
        coldStarts.recordRequest(server)
        load.inFlight += 1
        load.pendingPrefillTokens += prefillTokens
        load.prefixCache.remember(request.promptParts)
        return ticket
    }

    /** The first event or the whole answer of an attempt came. */
    public fun recordFirstAnswer(ticket: AttemptTicket, now: MonotonicTime) {
        val load = loads[ticket.server] ?: return
        load.lastReceivedAt = now
        if (ticket.hasAnswer) return
        ticket.hasAnswer = true
        load.pendingPrefillTokens = maxOf(0, load.pendingPrefillTokens - ticket.prefillTokens)
        val elapsedMillis = (now - ticket.startedAt).toDouble(DurationUnit.MILLISECONDS)
        if (ticket.predictedMillis > 0.0) {
            load.recordLatencyRatio(elapsedMillis * load.latencyRatio / ticket.predictedMillis)
        }
    }

    /** Something came from a server. */
    public fun recordActivity(server: BackendServerId, now: MonotonicTime) {
        loads[server]?.lastReceivedAt = now
    }

    /** A server told its load. */
    public fun recordLoadReport(server: BackendServerId, report: LoadReport, now: MonotonicTime) {
        loads[server]?.recordLoadReport(report, now)
    }

    /** An attempt ended, with [end] where it gave no answer that was passed on. */
    public fun endAttempt(ticket: AttemptTicket, end: AttemptEnd?, now: MonotonicTime) {
        if (ticket.isEnded) return
        ticket.isEnded = true
        val load = loads[ticket.server] ?: return
        load.inFlight = maxOf(0, load.inFlight - 1)
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

    /** Returns this entry's requests that are at servers, by service. */
    public fun openRequests(): Map<ServiceName, Int> =
        loads.values
            .groupBy { it.server.service }
            .mapValues { (_, servers) -> servers.sumOf { it.inFlight } }

    /** Returns whether [server] sent nothing for too long since [since]. */
    public fun isSilent(server: BackendServerId, since: MonotonicTime, now: MonotonicTime): Boolean {
        val load = loads[server] ?: return true
        return now - maxOf(load.lastReceivedAt, since) >= settings.silenceTimeout
    }

    /** Returns whether [server] has left the list of servers. */
    public fun isGone(server: BackendServerId): Boolean = server !in loads

    private fun retryDelay(atMostMillis: Int) = random.nextInt(atMostMillis / 2, atMostMillis).milliseconds

    private companion object {
        const val DEADLINE_FRACTION = 0.9
        const val NO_SERVER_RETRY_MILLIS = 1_500
        const val NO_CAPACITY_RETRY_MILLIS = 800
        const val MIN_CONNECTIONS = 4
        const val FAILURE_TOLERANCE_FRACTION = 0.1
        const val JITTER_FRACTION = 0.15

        /** Part of a prompt's shared start that its first and second home are taken to keep. */
        val PREFIX_AFFINITY_FRACTIONS = listOf(0.9, 0.5)
        const val REJECTION_FAILURE_WEIGHT = 0.5
    }
}
