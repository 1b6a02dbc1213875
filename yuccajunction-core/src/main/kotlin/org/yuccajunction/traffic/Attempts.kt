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
    private var avoidedServers = persistentSetOf<BackendServerId>()
    private var avoidedZone: AvailabilityZone? = null
    var count: Int = 0
        private set
    var current: Attempt? = null
        private set

    /** Whether a byte of the request may have left for a server that did not say that it ran nothing. */
    var mayHaveExecuted: Boolean = false
        private set

    fun isCurrent(event: RequestEvent.AttemptEvent): Boolean = event.attempt == current?.number

    fun chooseServer(promptTokens: Int): RoutingDecision {
        val query = base.copy(promptTokens = promptTokens, failedServers = avoidedServers, lastFailureZone = avoidedZone)
        return environment.chooser.choose(
            query,
            environment.routingTable(),
            environment.openRequests,
            environment.random,
        )
    }

    /** Makes the chosen server's attempt the current one. */
    fun begin(choice: RoutingDecision.Use, recomputedTokens: Int, now: MonotonicTime): Attempt {
        check(current == null) { "attempt $count is still open" }
        val open = environment.openRequests.countAt(choice.server.id)
        count += 1
        return Attempt(count, choice.server, now, open, recomputedTokens).also { current = it }
    }

    /** Ends the current attempt, returns its permit and what it showed. */
    fun finish(result: AttemptResult, recomputedTokens: Int? = null): RequestCommand.RecordObservation {
        val attempt = checkNotNull(current) { "no attempt is open" }
        current = null
        environment.openRequests.release(attempt.server.id)
        if (result != AttemptResult.REJECTED && result != AttemptResult.UNREACHABLE) mayHaveExecuted = true
        if (result != AttemptResult.COMPLETED) {
            avoidedServers = avoidedServers.add(attempt.server.id)
            avoidedZone = attempt.server.availabilityZone
        }
        val recomputed = recomputedTokens ?: attempt.recomputedTokens
        return RequestCommand.RecordObservation(attempt.observation(base, result, recomputed))
    }

    /** Whether [server] is announced leaving. */
    fun isLeaving(server: ServerRoute): Boolean =
        environment.routingTable().services[base.service]
            ?.servers
            ?.any { it.id == server.id && it.state == ServerState.LEAVING } == true

    /** Whether [attempt] at a model has made no progress for longer than the service's targets allow. */
    fun isSilent(attempt: Attempt, now: MonotonicTime): Boolean {
        val service = environment.routingTable().services[base.service] ?: return false
        val hasProgress = attempt.firstProgressAt != null
        val timeout = if (hasProgress) SilenceTimeout.nextToken(service) else SilenceTimeout.firstToken(service)
        attempt.updateSilence(now)
        return attempt.silence >= timeout
    }

    /** Lets servers that failed this request be chosen again. */
    fun clearAvoided() {
        avoidedServers = persistentSetOf()
        avoidedZone = null
    }
}
