package org.yuccajunction.fleet

import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Chooses a backend server for each attempt of one entry, by predicted latency, prefix affinity and failures.
 *
 * Keeps an estimate of the load of each server from this entry's own attempts and from the load reports of the servers,
 * and learns from the answers how long a request takes. Confined to the traffic thread.
 *
 * @param onPrediction gets the predicted and the measured milliseconds of each first event or whole answer
 * @param onUrgentReport is called when peers should know at once what this entry has learned
 */
public class LoadBalancer(
    private val entry: String,
    availabilityZone: AvailabilityZone,
    private val random: Random,
    private val settings: LoadBalancingSettings = LoadBalancingSettings(),
    private val onPrediction: (service: ServiceName, predictedMillis: Double, measuredMillis: Double) -> Unit =
        { _, _, _ -> },
    private val onUrgentReport: () -> Unit = {},
) {
    /** The limits that servers name in their answers. */
    public val requestLimits: RequestLimits = RequestLimits(entry)

    /** Services whose servers fall over when they turn away too many requests. */
    public val brittleServers: BrittleServers = BrittleServers(entry)

    /** Which servers have said in their answers that they want no new requests. */
    public val notices: ServerNotices = ServerNotices()
    private val loads = HashMap<BackendServerId, ServerLoad>()
    private val costs = ServerCostEstimator(settings, availabilityZone)
    private val coldStarts = ColdStartLimiter(entry)
    private val permits = ServerPermits(requestLimits, notices, brittleServers, coldStarts)
    private val work = HashMap<ServiceName, WorkMeter>()
    private val versionSplit = VersionSplit(random)
    private var snapshot = FleetSnapshot()

    /** Replaces the current snapshot by a newer one; the load of a server that has restarted begins empty. */
    public fun update(snapshot: FleetSnapshot, now: MonotonicTime) {
        this.snapshot = snapshot
        loads.keys.retainAll(snapshot.servers.keys)
        coldStarts.retainServers(snapshot.servers.keys)
        requestLimits.retainServers(snapshot.servers.keys)
        notices.retainServers(snapshot.servers.values, now)
        snapshot.configuration?.let {
            costs.retainServices(it.services.keys)
            work.keys.retainAll(it.services.keys)
        }
        for (server in snapshot.servers.values) {
            val known = loads[server.id]
            if (known != null && known.server.isSameIncarnation(server)) {
                known.server = server
            } else {
                requestLimits.forget(server.id)
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

    /** Returns the server for one attempt, or the cause of a refusal with the time after which to retry. */
    public fun choose(query: ServerQuery, now: MonotonicTime): ServerChoice {
        val all = candidateLoads(query.request.service)
        if (all.isEmpty()) return ServerChoice.Refuse(RefusalCause.NO_SERVER, retryDelay(NO_SERVER_RETRY_MILLIS))
        val trial = snapshot.versions.trials[query.request.service]
        val groups = if (trial == null) listOf(all) else versionSplit.groups(trial, all, query, now)
        val choices = groups.map { chooseAmong(it, query, now) }
        return choices.firstOrNull { it is ServerChoice.Use } ?: choices.lastOrNull() ?: noCapacity()
    }

    private fun chooseAmong(all: List<ServerLoad>, query: ServerQuery, now: MonotonicTime): ServerChoice {
        shortestPause(all, now)?.let { pause ->
            val spread = 1.0 + random.nextDouble(PAUSE_RETRY_SPREAD)
            return ServerChoice.Refuse(RefusalCause.NO_CAPACITY, minOf(pause * spread, LONGEST_PAUSE_RETRY))
        }
        val available = all.filter { it.server.id !in query.excluded && permits.holdReason(it, snapshot, now) == null }
        val candidates = available.filterNot { it.isSuspect(now) }.ifEmpty { available }
        return chooseCheapest(candidates, query, PrefixAffinity(query.request, all), now)
    }

    /** Returns the cheapest of [candidates], or a refusal if the request would be too late there. */
    private fun chooseCheapest(
        candidates: List<ServerLoad>,
        query: ServerQuery,
        affinity: PrefixAffinity,
        now: MonotonicTime,
    ): ServerChoice {
        val (load, predictedMillis) = cheapest(candidates, query.request, affinity, now) ?: return noCapacity()
        val remainingMillis = (query.request.deadline - now).toDouble(DurationUnit.MILLISECONDS)
        if (predictedMillis > remainingMillis * DEADLINE_FRACTION) return noCapacity()
        val isFirstAttempt = query.excluded.isEmpty()
        val prefillTokens = affinity.prefillTokens(load)
        val wait =
            if (isFirstAttempt) tooLongWaitMillis(load, query.request, prefillTokens, predictedMillis, now) else null
        return if (wait == null) ServerChoice.Use(load.server) else noCapacity(wait.toInt())
    }

    /** Returns the time until the first pause has ended if all servers of [loads] asked for one, else null. */
    private fun shortestPause(loads: List<ServerLoad>, now: MonotonicTime): Duration? =
        loads.minOfOrNull { notices.pauseLeft(it.server, now) ?: return null }

    private fun candidateLoads(service: ServiceName): List<ServerLoad> =
        snapshot.candidates(service).mapNotNull { loads[it.id] }.filterNot { notices.isLeaving(it.server) }

    private fun noCapacity(retryMillis: Int = NO_CAPACITY_RETRY_MILLIS) =
        ServerChoice.Refuse(RefusalCause.NO_CAPACITY, retryDelay(retryMillis))

    /** Returns the milliseconds that a new stream would wait behind others at [load], null if that is short enough. */
    private fun tooLongWaitMillis(
        load: ServerLoad,
        request: ForwardRequest,
        prefillTokens: Int,
        predictedMillis: Double,
        now: MonotonicTime,
    ): Double? {
        if (!request.route.isStream || load.waitingRequests(now) < 1.0) return null
        val idleMillis = costs.idleFirstEventMillis(request, prefillTokens) * load.latencyRatio
        return (predictedMillis - idleMillis).takeIf { it > WaitLimit.longestMillis(request, idleMillis) }
    }

    /** Returns the server with the lowest cost and the predicted latency there in milliseconds. */
    private fun cheapest(
        loads: List<ServerLoad>,
        request: ForwardRequest,
        affinity: PrefixAffinity,
        now: MonotonicTime,
    ): Pair<ServerLoad, Double>? {
        if (loads.isEmpty()) return null
        val usualFailureFraction = loads.minOf { it.failureFraction(now) } + FAILURE_TOLERANCE_FRACTION
        return loads
            .map { load ->
                val predicted =
                    costs.predict(load, request, affinity.prefillTokens(load), now).millis * load.latencyRatio
                val failureFactor = costs.failureFactor(load, usualFailureFraction, now)
                val rereadMillis = costs.rereadMillis(load, request, affinity.rereadTokens(load), now)
                val jitter = 1.0 + random.nextDouble(JITTER_FRACTION)
                Triple(load, predicted, predicted * failureFactor * jitter + rereadMillis + costs.otherZoneMillis(load))
            }.minBy { it.third }
            .let { it.first to it.second }
    }

    /** Counts an attempt of [request] that is being sent to [server], until [endAttempt] gets the returned ticket. */
    public fun beginAttempt(server: BackendServer, request: ForwardRequest, now: MonotonicTime): AttemptTicket {
        val load = loads[server.id] ?: return AttemptTicket(server.id, 0, now, prediction = null)
        val prefillTokens = PrefixAffinity(request, candidateLoads(request.service)).prefillTokens(load)
        val prediction = costs.predict(load, request, prefillTokens, now)
        val ticket = AttemptTicket(server.id, prefillTokens, now, prediction, request.route, load.requests(now))
        snapshot.versions.trials[server.service]?.let { versionSplit.recordAttempt(it, server) }
        coldStarts.recordRequest(server)
        requestLimits.recordRequest(server.id)
        brittleServers.recordRequest(load, snapshot.entries)
        costs.workMillis(load, request, prefillTokens)?.let { millis ->
            work.getOrPut(server.service) { WorkMeter(now) }.add(millis, now)
        }
        load.inFlight += 1
        if (!request.route.mayRepeat) load.inFlightUnrepeatable += 1
        load.pendingPrefillTokens += prefillTokens
        load.prefixCache.remember(request.promptParts)
        return ticket
    }

    /** Records that the first event or the whole answer of an attempt has arrived; a later call counts as activity. */
    public fun recordFirstAnswer(ticket: AttemptTicket, now: MonotonicTime) {
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
    public fun recordActivity(server: BackendServerId, now: MonotonicTime) {
        loads[server]?.lastReceivedAt = now
    }

    /**
     * Records the limit that [server] names in an answer: the requests that it takes per second from all entries
     * together, null for none. Returns whether the limit has changed.
     */
    public fun recordRequestLimit(server: BackendServerId, requestsPerSecond: Double?, now: MonotonicTime): Boolean {
        if (server !in loads) return false
        return requestLimits.record(server, requestsPerSecond, now)
    }

    /** Records the load that [server] reports. */
    public fun recordLoadReport(server: BackendServerId, report: LoadReport, now: MonotonicTime) {
        loads[server]?.recordLoadReport(report, now)
    }

    /** Records the end of an attempt, with [end] if there was no answer that could be passed on, else null. */
    public fun endAttempt(ticket: AttemptTicket, end: AttemptEnd?, now: MonotonicTime) {
        if (ticket.isEnded) return
        ticket.isEnded = true
        val load = loads[ticket.server] ?: return
        load.inFlight = maxOf(0, load.inFlight - 1)
        if (ticket.route?.mayRepeat == false) load.inFlightUnrepeatable = maxOf(0, load.inFlightUnrepeatable - 1)
        if (!ticket.hasAnswer) load.pendingPrefillTokens = maxOf(0, load.pendingPrefillTokens - ticket.prefillTokens)
        if (end == null && ticket.hasAnswer) versionSplit.recordDuration(ticket.route?.name, now - ticket.startedAt)
        load.recordOutcome(failureWeight(end), now)
        if (end == AttemptEnd.REJECTED && brittleServers.recordRejection(load.server.service, now)) onUrgentReport()
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

    /**
     * Returns the number of servers that this entry's requests keep busy on average, by service.
     *
     * A service is missing until enough answers have shown how long its servers work on a request.
     */
    public fun busyServers(now: MonotonicTime): Map<ServiceName, Double> =
        work.mapValues { it.value.busyServers(now) }

    /** Returns whether [server] has sent nothing for the silence timeout, which begins at [since] at the earliest. */
    public fun isSilent(server: BackendServerId, since: MonotonicTime, now: MonotonicTime): Boolean {
        val load = loads[server] ?: return true
        val usual = costs.longFirstEventMillis(load.server.service).milliseconds
        return now - maxOf(load.lastReceivedAt, since) >= maxOf(settings.silenceTimeout, usual)
    }

    /** Returns whether [server] is no longer listed. */
    public fun isGone(server: BackendServerId): Boolean = server !in loads

    /** Returns a delay with random jitter, between half of [atMostMillis] and all of it. */
    private fun retryDelay(atMostMillis: Int): Duration {
        val most = atMostMillis.coerceIn(LEAST_RETRY_MILLIS, LONGEST_RETRY_MILLIS)
        return random.nextInt(most / 2, most).milliseconds
    }

    private companion object {
        /** Fraction of the time until the deadline that the predicted latency may take. */
        const val DEADLINE_FRACTION = 0.9
        const val NO_SERVER_RETRY_MILLIS = 1_500
        const val NO_CAPACITY_RETRY_MILLIS = 800

        /** Largest addition to the delay of a retry after a pause, as a fraction of the pause. */
        const val PAUSE_RETRY_SPREAD = 0.5

        /** Delay after which callers may come back whatever the pauses, since other servers may have started. */
        val LONGEST_PAUSE_RETRY: Duration = 60.seconds
        const val LEAST_RETRY_MILLIS = 200
        const val LONGEST_RETRY_MILLIS = 3_000

        /** Excess over the failure fraction of the best server up to which failures do not raise the cost. */
        const val FAILURE_TOLERANCE_FRACTION = 0.1

        /** Largest random addition to the cost of a server, as a fraction of the cost. */
        const val JITTER_FRACTION = 0.15

        /** Weight of a rejection, where a failure has weight 1. */
        const val REJECTION_FAILURE_WEIGHT = 0.5
    }
}
