package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.forward.WorkspacePolicy
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Finds the route and the workspace of a request and lets it begin, or refuses it at once. */
internal class RequestAdmission(private val traffic: Traffic) {
    fun admit(received: ReceivedRequest, caller: CallerConnection) {
        when (val outcome = decide(received)) {
            is Outcome.Admitted -> caller.begin(exchange(received, caller, outcome))
            is Outcome.Refused -> {
                received.body.release()
                caller.refuse(outcome.cause.status, outcome.cause.code, outcome.retryAfter)
            }
            is Outcome.Unknown -> {
                received.body.release()
                caller.fail(outcome.status, outcome.code)
            }
        }
    }

    private fun decide(received: ReceivedRequest): Outcome {
        val configuration = traffic.table.configuration ?: return refused(RefusalCause.NO_CONFIGURATION)
        if (traffic.isClosing(received.receivedAt)) return Outcome.Refused(RefusalCause.ENTRY_LEAVING, Duration.ZERO)
        if (traffic.openExchanges >= MAX_OPEN) return refused(RefusalCause.ENTRY_LIMIT)
        val route = route(configuration, received) ?: return unknown(NOT_FOUND, "unknown-route")
        val head = traffic.wire.readRequest(received.head.headers())
        val id = head.id ?: return Outcome.Unknown(BAD_REQUEST, "missing-identity")
        if (route.isPublic || !configuration.needsKeys) return admitted(received, route, head, id, null)
        if (isUnconfirmed()) return refused(RefusalCause.UNCONFIRMED_KEYS)
        val policy = head.key?.let { configuration.keys[it] } ?: return unknown(UNAUTHORIZED, "unknown-key")
        return admitted(received, route, head, id, policy)
    }

    private fun route(configuration: ForwardConfiguration, received: ReceivedRequest): ForwardRoute? {
        val host = received.head.headers().get(HttpHeaderNames.HOST) ?: return null
        return configuration.route(host.substringBefore(':'), received.head.uri().substringBefore('?'))
    }

    private fun admitted(
        received: ReceivedRequest,
        route: ForwardRoute,
        head: CallerHead,
        id: String,
        policy: WorkspacePolicy?,
    ): Outcome {
        val charge = policy?.charge(head.tokens) ?: 0.0
        if (policy != null && !traffic.allowances.take(policy, charge, received.receivedAt)) {
            return refused(RefusalCause.WORKSPACE_LIMIT)
        }
        val limit = minOf(head.timeLimit ?: route.timeLimit, route.timeLimit)
        val request =
            ForwardRequest(
                id = id,
                route = route,
                service = route.destination(traffic.random),
                workspace = policy?.id,
                rank = policy?.rank ?: route.rank,
                receivedAt = received.receivedAt,
                deadline = received.receivedAt + limit,
                promptTokens = head.promptTokens,
                answerTokens = head.answerTokens,
                promptParts = head.promptParts,
            )
        return Outcome.Admitted(request, policy?.let { Exchange.Charge(it, charge) })
    }

    private fun exchange(received: ReceivedRequest, caller: CallerConnection, admitted: Outcome.Admitted): Exchange {
        traffic.retries.requested(admitted.request.service, traffic.table.entries.size, received.receivedAt)
        return Exchange(traffic, caller, admitted.request, received.head, received.body, admitted.charge)
    }

    /** A key may have been taken away since the store last confirmed the configuration. */
    private fun isUnconfirmed(): Boolean {
        val age = traffic.keyAge() ?: return true
        return age >= traffic.settings.bounds.keyLifetime - KEY_MARGIN
    }

    /** What is unknown here may be known in a newer configuration that has not reached this entry. */
    private fun unknown(status: Int, code: String): Outcome {
        val age = traffic.keyAge()
        if (age == null || age > CURRENT_AGE) return refused(RefusalCause.NO_CONFIGURATION)
        return Outcome.Unknown(status, code)
    }

    private fun refused(cause: RefusalCause): Outcome =
        Outcome.Refused(cause, Random.nextInt(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS).milliseconds)

    private sealed interface Outcome {
        class Admitted(val request: ForwardRequest, val charge: Exchange.Charge?) : Outcome

        class Refused(val cause: RefusalCause, val retryAfter: Duration) : Outcome

        class Unknown(val status: Int, val code: String) : Outcome
    }

    private companion object {
        const val NOT_FOUND = 404
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val MAX_OPEN = 1_000
        const val MIN_WAIT_MILLIS = 200
        const val MAX_WAIT_MILLIS = 700
        val KEY_MARGIN = 400.milliseconds
        val CURRENT_AGE = 2_800.milliseconds
    }
}
