package org.yuccajunction.fleet

import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
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

    /** What this entry has observed of the servers. */
    public val observations: ServerObservations = ServerObservations(settings, availabilityZone, onPrediction)
    private val coldStarts = ColdStartLimiter(entry)
    private val permits = ServerPermits(requestLimits, notices, brittleServers, coldStarts)
    private val candidateViews = CandidateViews(observations, permits)
    private val versionSplit = VersionSplit(random)
    private val durations = AnswerDurations()
    private var snapshot = FleetSnapshot()

    /** Replaces the current snapshot by a newer one; the load of a server that has restarted begins empty. */
    public fun update(snapshot: FleetSnapshot, now: MonotonicTime) {
        this.snapshot = snapshot
        coldStarts.retainServers(snapshot.servers.keys)
        requestLimits.retainServers(snapshot.servers.keys)
        notices.retainServers(snapshot.servers.values, now)
        observations.update(snapshot, now).forEach(requestLimits::forget)
    }

    /** Returns the server for one attempt, or the cause of a refusal with the time after which to retry. */
    public fun choose(query: ServerQuery, now: MonotonicTime): ServerChoice {
        val all = candidateLoads(query.request.service)
        if (all.isEmpty()) return ServerChoice.Refuse(RefusalCause.NO_SERVER, retryDelay(NO_SERVER_RETRY_MILLIS))
        val choices = groups(all, query, now).map { chooseAmong(it, query, now) }
        return choices.firstOrNull { it is ServerChoice.Use } ?: choices.lastOrNull() ?: noCapacity()
    }

    /**
     * Returns what the choice for [query] compares, and the server that it would choose now.
     *
     * Random draws come from [random], so that an explanation does not change the choices that follow.
     */
    public fun compare(query: ServerQuery, now: MonotonicTime, random: Random): ServerSelection {
        val all = candidateLoads(query.request.service)
        val selections = groups(all, query, now).map { ServerSelector.select(views(it, query, now), random) }
        return ServerSelection(selections.flatMap { it.candidates }, selections.firstNotNullOfOrNull { it.chosen })
    }

    private fun groups(all: List<ServerLoad>, query: ServerQuery, now: MonotonicTime): List<List<ServerLoad>> {
        val trial = snapshot.versions.trials[query.request.service]
        return if (trial == null) listOf(all) else versionSplit.groups(trial, all, query, now)
    }

    private fun chooseAmong(all: List<ServerLoad>, query: ServerQuery, now: MonotonicTime): ServerChoice {
        shortestPause(all, now)?.let { pause ->
            val spread = 1.0 + random.nextDouble(PAUSE_RETRY_SPREAD)
            return ServerChoice.Refuse(RefusalCause.NO_CAPACITY, minOf(pause * spread, LONGEST_PAUSE_RETRY))
        }
        val chosen = ServerSelector.select(views(all, query, now), random).chosen ?: return noCapacity()
        return useUnlessTooLate(chosen.server, chosen.terms ?: return noCapacity(), query, now)
    }

    private fun views(loads: List<ServerLoad>, query: ServerQuery, now: MonotonicTime): List<CandidateView> =
        candidateViews.views(loads, query, snapshot, now)

    /** Returns [server], or a refusal if the request would be too late there. */
    private fun useUnlessTooLate(
        server: BackendServer,
        terms: CandidateTerms,
        query: ServerQuery,
        now: MonotonicTime,
    ): ServerChoice {
        val remainingMillis = (query.request.deadline - now).toDouble(DurationUnit.MILLISECONDS)
        if (terms.predictedMillis > remainingMillis * DEADLINE_FRACTION) return noCapacity()
        val isFirstAttempt = query.excluded.isEmpty()
        val wait = if (isFirstAttempt) tooLongWaitMillis(server, query.request, terms, now) else null
        return if (wait == null) ServerChoice.Use(server) else noCapacity(wait.toInt())
    }

    /** Returns the time until the first pause has ended if all servers of [loads] asked for one, else null. */
    private fun shortestPause(loads: List<ServerLoad>, now: MonotonicTime): Duration? =
        loads.minOfOrNull { notices.pauseLeft(it.server, now) ?: return null }

    private fun candidateLoads(service: ServiceName): List<ServerLoad> =
        snapshot.candidates(service).mapNotNull { observations.load(it.id) }.filterNot { notices.isLeaving(it.server) }

    private fun noCapacity(retryMillis: Int = NO_CAPACITY_RETRY_MILLIS) =
        ServerChoice.Refuse(RefusalCause.NO_CAPACITY, retryDelay(retryMillis))

    /** Returns the milliseconds that a new stream would wait behind others at [server], null if short enough. */
    private fun tooLongWaitMillis(
        server: BackendServer,
        request: ForwardRequest,
        terms: CandidateTerms,
        now: MonotonicTime,
    ): Double? {
        val load = observations.load(server.id) ?: return null
        if (!request.route.isStream || load.waitingRequests(now) < 1.0) return null
        val idleMillis = terms.prefillMillis * load.latencyRatio
        return (terms.predictedMillis - idleMillis).takeIf { it > WaitLimit.longestMillis(request, idleMillis) }
    }

    /** Counts an attempt of [request] that is being sent to [server], until [endAttempt] gets the returned ticket. */
    public fun beginAttempt(server: BackendServer, request: ForwardRequest, now: MonotonicTime): AttemptTicket {
        val load = observations.load(server.id) ?: return AttemptTicket(server.id, 0, now, prediction = null)
        val prefillTokens = PrefixAffinity(request, candidateLoads(request.service)).prefillTokens(load)
        val prediction = observations.costs.predict(load, request, prefillTokens, now)
        val ticket = AttemptTicket(server.id, prefillTokens, now, prediction, request.route, load.requests(now))
        snapshot.versions.trials[server.service]?.let { versionSplit.recordAttempt(it, server) }
        coldStarts.recordRequest(server)
        requestLimits.recordRequest(server.id)
        brittleServers.recordRequest(load, snapshot.entries)
        observations.recordAttempt(load, ticket, request, now)
        return ticket
    }

    /** Records that the first event or the whole answer of an attempt has arrived; a later call counts as activity. */
    public fun recordFirstAnswer(ticket: AttemptTicket, now: MonotonicTime): Unit =
        observations.recordFirstAnswer(ticket, now)

    /** Records that [server] has sent something. */
    public fun recordActivity(server: BackendServerId, now: MonotonicTime): Unit =
        observations.recordActivity(server, now)

    /**
     * Records the limit that [server] names in an answer: the requests that it takes per second from all entries
     * together, null for none. Returns whether the limit has changed.
     */
    public fun recordRequestLimit(server: BackendServerId, requestsPerSecond: Double?, now: MonotonicTime): Boolean {
        if (isGone(server)) return false
        return requestLimits.record(server, requestsPerSecond, now)
    }

    /** Records the load that [server] reports. */
    public fun recordLoadReport(server: BackendServerId, report: LoadReport, now: MonotonicTime): Unit =
        observations.recordLoadReport(server, report, now)

    /** Records the end of an attempt, with [end] if there was no answer that could be passed on, else null. */
    public fun endAttempt(ticket: AttemptTicket, end: AttemptEnd?, now: MonotonicTime) {
        if (ticket.isEnded) return
        ticket.isEnded = true
        val load = observations.load(ticket.server) ?: return
        if (end == null && ticket.hasAnswer) {
            versionSplit.recordDuration(ticket.route?.name, now - ticket.startedAt)
            ticket.route?.let { durations.learn(it, now - ticket.startedAt) }
        }
        observations.recordEnd(load, ticket, end, now)
        if (end == AttemptEnd.REJECTED && brittleServers.recordRejection(load.server.service, now)) onUrgentReport()
    }

    /** Returns the time within which nearly all whole answers on [route] have come, those of streams to their end. */
    public fun usualDuration(route: ForwardRoute): Duration = durations.usual(route)

    /** Returns the number of this entry's open attempts, by service. */
    public fun openRequests(): Map<ServiceName, Int> = observations.openRequests()

    /** Returns this entry's open attempts at servers of [service] with another version than [target]. */
    public fun openAtOtherVersions(service: ServiceName, target: String): OpenAttempts =
        observations.openAtOtherVersions(service, target)

    /**
     * Returns the number of servers that this entry's requests keep busy on average, by service.
     *
     * A service is missing until enough answers have shown how long its servers work on a request.
     */
    public fun busyServers(now: MonotonicTime): Map<ServiceName, Double> = observations.busyServers(now)

    /** Returns whether [server] has sent nothing for the silence timeout, which begins at [since] at the earliest. */
    public fun isSilent(server: BackendServerId, since: MonotonicTime, now: MonotonicTime): Boolean =
        observations.isSilent(server, since, now)

    /** Returns whether [server] is no longer listed. */
    public fun isGone(server: BackendServerId): Boolean = observations.load(server) == null

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
    }
}
