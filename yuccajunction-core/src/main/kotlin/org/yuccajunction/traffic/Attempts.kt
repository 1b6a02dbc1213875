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

/**
 * The attempts of one request.
 *
 * At most one attempt is current; the permit that it holds at its server is released exactly once.
 */
internal class Attempts(private val environment: TrafficEnvironment, private val base: RoutingQuery) {
    private var failedServers = persistentSetOf<BackendServerId>()
    private var lastFailureZone: AvailabilityZone? = null
    var count: Int = 0
        private set
    var current: Attempt? = null
        private set

    /** Whether a server may have executed the request: some attempt was sent and not rejected before execution. */
    var mayHaveExecuted: Boolean = false
        private set

    fun isCurrent(event: RequestEvent.AttemptEvent): Boolean = event.attempt == current?.number

    fun chooseServer(promptTokens: Int): RoutingDecision {
        val query =
            base.copy(
                promptTokens = promptTokens,
                failedServers = failedServers,
                lastFailureZone = lastFailureZone,
            )
        return environment.chooser.choose(
            query,
            environment.routingTable(),
            environment.openRequests,
            environment.random,
        )
    }

    /** Starts an attempt at the chosen server and makes it the current one. */
    fun begin(choice: RoutingDecision.Use, recomputedTokens: Int, now: MonotonicTime): Attempt {
        check(current == null) { "attempt $count has not ended" }
        val open = environment.openRequests.countAt(choice.server.id)
        count += 1
        return Attempt(count, choice.server, now, open, recomputedTokens).also { current = it }
    }

    /**
     * Ends the current attempt and releases its permit; returns the command that records the attempt.
     *
     * Later attempts avoid the server unless [result] is [AttemptResult.COMPLETED].
     */
    fun finish(result: AttemptResult, recomputedTokens: Int? = null): RequestCommand.RecordObservation {
        val attempt = checkNotNull(current) { "no attempt is current" }
        current = null
        environment.openRequests.release(attempt.server.id)
        if (result != AttemptResult.REJECTED && result != AttemptResult.UNREACHABLE) mayHaveExecuted = true
        if (result != AttemptResult.COMPLETED) {
            failedServers = failedServers.add(attempt.server.id)
            lastFailureZone = attempt.server.availabilityZone
        }
        val recomputed = recomputedTokens ?: attempt.recomputedTokens
        return RequestCommand.RecordObservation(attempt.observation(base, result, recomputed))
    }

    /** Returns whether the routing table marks [server] as draining. */
    fun isLeaving(server: ServerRoute): Boolean =
        environment.routingTable().services[base.service]
            ?.servers
            ?.any { it.id == server.id && it.state == ServerState.LEAVING } == true

    /** Returns whether [attempt] at a model has been silent for at least its [SilenceTimeout]. */
    fun isSilent(attempt: Attempt, now: MonotonicTime): Boolean {
        val service = environment.routingTable().services[base.service] ?: return false
        val hasProgress = attempt.firstProgressAt != null
        val timeout = if (hasProgress) SilenceTimeout.nextToken(service) else SilenceTimeout.firstToken(service)
        attempt.updateSilence(now)
        return attempt.silence >= timeout
    }

    /** Lets the servers of earlier attempts be chosen again. */
    fun clearFailures() {
        failedServers = persistentSetOf()
        lastFailureZone = null
    }
}
