package org.yuccajunction.gateway

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.netty.handler.codec.http.HttpHeaderNames
import org.yuccajunction.control.LogEvent
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
        when (val decided = decide(received)) {
            is Either.Right -> caller.begin(exchange(received, caller, decided.value))
            is Either.Left -> {
                received.body.release()
                deny(decided.value, received, caller)
            }
        }
    }

    private fun deny(denial: Denial, received: ReceivedRequest, caller: CallerConnection) {
        log(denial, received)
        when (denial) {
            is Denial.Refused -> caller.refuse(denial.cause.status, denial.cause.code, denial.retryAfter)
            is Denial.Unknown -> caller.fail(denial.status, denial.code)
        }
    }

    private fun log(denial: Denial, received: ReceivedRequest) {
        traffic.log.write(LogEvent.FORWARD_ENDED) {
            field("request", traffic.wire.readRequest(received.head.headers()).id)
            field("outcome", denial.code)
            field("host", received.head.headers().get(HttpHeaderNames.HOST))
            field("path", received.head.uri().substringBefore('?').take(MAX_LOGGED_PATH))
            field("revision", traffic.table.configuration?.revision)
            field("revisionAgeMillis", traffic.keyAge()?.inWholeMilliseconds)
        }
    }

    private fun decide(received: ReceivedRequest): Either<Denial, Admitted> =
        either {
            val configuration = ensureNotNull(traffic.table.configuration) { refused(RefusalCause.NO_CONFIGURATION) }
            ensure(!traffic.isClosing(received.receivedAt)) {
                Denial.Refused(RefusalCause.ENTRY_LEAVING, Duration.ZERO)
            }
            ensure(traffic.openExchanges < MAX_OPEN) { refused(RefusalCause.ENTRY_LIMIT) }
            val route = ensureNotNull(route(configuration, received)) { unknown(NOT_FOUND, "unknown-route") }
            val head = traffic.wire.readRequest(received.head.headers())
            val id = ensureNotNull(head.id) { Denial.Unknown(BAD_REQUEST, "missing-identity") }
            val policy = if (route.isPublic || !configuration.needsKeys) null else policy(configuration, head)
            val charge = policy?.let { charge(it, head, received) }
            Admitted(request(received, route, head, id, policy), charge)
        }

    private fun Raise<Denial>.policy(configuration: ForwardConfiguration, head: CallerHead): WorkspacePolicy {
        ensure(!isUnconfirmed()) { refused(RefusalCause.UNCONFIRMED_KEYS) }
        return ensureNotNull(head.key?.let { configuration.workspacesByKey[it] }) {
            unknown(UNAUTHORIZED, "unknown-key")
        }
    }

    private fun Raise<Denial>.charge(
        policy: WorkspacePolicy,
        head: CallerHead,
        received: ReceivedRequest,
    ): Exchange.Charge {
        val amount = policy.charge(head.tokens)
        val isAdmitted = traffic.allowances.tryConsume(policy, amount, received.receivedAt)
        ensure(isAdmitted) { refused(RefusalCause.WORKSPACE_LIMIT) }
        return Exchange.Charge(policy, amount)
    }

    private fun route(configuration: ForwardConfiguration, received: ReceivedRequest): ForwardRoute? {
        val host = received.head.headers().get(HttpHeaderNames.HOST) ?: return null
        return configuration.route(host.substringBefore(':'), received.head.uri().substringBefore('?'))
    }

    private fun request(
        received: ReceivedRequest,
        route: ForwardRoute,
        head: CallerHead,
        id: String,
        policy: WorkspacePolicy?,
    ): ForwardRequest =
        ForwardRequest(
            id = id,
            route = route,
            service = route.destination(traffic.random),
            workspace = policy?.id,
            rank = policy?.rank ?: route.rank,
            receivedAt = received.receivedAt,
            deadline = received.receivedAt + minOf(head.timeLimit ?: route.timeLimit, route.timeLimit),
            promptTokens = head.promptTokens,
            answerTokens = head.answerTokens,
            promptParts = head.promptParts,
        )

    private fun exchange(received: ReceivedRequest, caller: CallerConnection, admitted: Admitted): Exchange {
        traffic.retries.recordRequest(admitted.request.service, traffic.table.entries.size, received.receivedAt)
        return Exchange(traffic, caller, admitted.request, received.head, received.body, admitted.charge)
    }

    /** A key may have been taken away since the store last confirmed the configuration. */
    private fun isUnconfirmed(): Boolean {
        val age = traffic.keyAge() ?: return true
        return age >= traffic.settings.bounds.keyLifetime - KEY_MARGIN
    }

    /** What is unknown here may be known in a newer configuration that has not reached this entry. */
    private fun unknown(status: Int, code: String): Denial {
        val age = traffic.keyAge()
        if (age == null || age > CURRENT_AGE) return refused(RefusalCause.NO_CONFIGURATION)
        return Denial.Unknown(status, code)
    }

    private fun refused(cause: RefusalCause): Denial =
        Denial.Refused(cause, Random.nextInt(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS).milliseconds)

    private class Admitted(val request: ForwardRequest, val charge: Exchange.Charge?)

    private sealed interface Denial {
        val code: String

        class Refused(val cause: RefusalCause, val retryAfter: Duration) : Denial {
            override val code: String get() = cause.code
        }

        class Unknown(val status: Int, override val code: String) : Denial
    }

    private companion object {
        const val NOT_FOUND = 404
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val MAX_OPEN = 1_000
        const val MAX_LOGGED_PATH = 100
        const val MIN_WAIT_MILLIS = 200
        const val MAX_WAIT_MILLIS = 700
        val KEY_MARGIN = 150.milliseconds
        val CURRENT_AGE = 1_900.milliseconds
    }
}
