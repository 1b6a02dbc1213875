package org.yuccajunction.traffic

import kotlinx.collections.immutable.persistentSetOf
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.AttemptResult
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.RoutingQuery
import org.yuccajunction.routing.ServerRoute
import org.yuccajunction.routing.ServerState

/** The attempts of one request: at most one is current, and its permit is returned exactly once. */
internal class Attempts(private val environment: TrafficEnvironment, private val base: RoutingQuery) {
    private var avoid = persistentSetOf<BackendServerId>()
    private var avoidZone: AvailabilityZone? = null
    var count: Int = 0
        private set
    var current: Attempt? = null
        private set

    /** Whether a byte of the request may have left for a server that did not say that it ran nothing. */
    var mayHaveRun: Boolean = false
        private set

    fun isCurrent(event: RequestEvent.OfAttempt): Boolean = event.attempt == current?.number

    fun choose(promptTokens: Int): RoutingDecision {
        val query = base.copy(promptTokens = promptTokens, failedServers = avoid, lastFailureZone = avoidZone)
        return environment.chooser.choose(query, environment.table(), environment.openRequests, environment.random)
    }

    /** Makes the chosen server's attempt the current one. */
    fun begin(choice: RoutingDecision.Use, recomputedTokens: Int, now: MonotonicTime): Attempt {
        check(current == null) { "attempt $count is still open" }
        val open = environment.openRequests.countAt(choice.server.id)
        count += 1
        return Attempt(count, choice.server, now, open, recomputedTokens).also { current = it }
    }

    /** Ends the current attempt, returns its permit and what it showed. */
    fun finish(result: AttemptResult, recomputedTokens: Int? = null): RequestCommand.Observe {
        val attempt = checkNotNull(current) { "no attempt is open" }
        current = null
        environment.openRequests.release(attempt.server.id)
        if (result != AttemptResult.REJECTED && result != AttemptResult.UNREACHABLE) mayHaveRun = true
        if (result != AttemptResult.COMPLETED) {
            avoid = avoid.add(attempt.server.id)
            avoidZone = attempt.server.availabilityZone
        }
        val recomputed = recomputedTokens ?: attempt.recomputedTokens
        return RequestCommand.Observe(attempt.observation(base, result, recomputed))
    }

    /** Whether [server] is announced leaving. */
    fun isLeaving(server: ServerRoute): Boolean =
        environment.table().services[base.service]
            ?.servers
            ?.any { it.id == server.id && it.state == ServerState.LEAVING } == true

    /** Whether [attempt] at a model has made no progress for longer than the service's targets allow. */
    fun isSilent(attempt: Attempt, now: MonotonicTime): Boolean {
        val service = environment.table().services[base.service] ?: return false
        val begun = attempt.firstProgressAt != null
        val bound = if (begun) SilenceBound.nextToken(service) else SilenceBound.firstToken(service)
        attempt.elapse(now)
        return attempt.silence >= bound
    }

    /** Lets servers that failed this request be chosen again. */
    fun forgive() {
        avoid = persistentSetOf()
        avoidZone = null
    }
}
