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
import org.yuccajunction.quota.QuotaLoanRound
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Admits a caller's request or rejects it at once.
 *
 * An admitted request has a known route, a valid key where the route needs one, and quota left for its workspace.
 */
internal class ForwardAdmission(private val dataPlane: DataPlane, private val isOfPeer: Boolean = false) {
    /** The last round of loans for the request that is being admitted. */
    private var loanRound: QuotaLoanRound? = null
    private var loanRoundCount = 0

    fun admit(received: ReceivedRequest, caller: CallerConnection) {
        val decided = decide(received)
        if (decided is Either.Left && borrows(decided.value, received, caller)) return
        loanRound = null
        loanRoundCount = 0
        when (decided) {
            is Either.Right -> caller.forward(exchange(received, caller, decided.value))
            is Either.Left -> {
                received.body.release()
                reject(decided.value, received, caller)
            }
        }
    }

    /** Returns whether [received] waits for loans of peers, because only the quota held here does not cover it. */
    private fun borrows(rejection: Rejection, received: ReceivedRequest, caller: CallerConnection): Boolean {
        if (rejection !is Rejection.QuotaUsedUp) return false
        loanRound = null
        if (loanRoundCount < QuotaExchange.MAX_ROUNDS) {
            loanRound = dataPlane.quotaExchange.begin(rejection.policy, rejection.charge) { hold(received, caller) }
        }
        loanRoundCount += 1
        return loanRound != null
    }

    /** Lets [received] wait; returns the function that lets it be admitted again if its caller is still there. */
    private fun hold(received: ReceivedRequest, caller: CallerConnection): () -> Unit {
        caller.pending = received
        return { if (caller.pending === received) dataPlane.admissions.add(PendingRequest(received, caller)) }
    }

    private fun reject(rejection: Rejection, received: ReceivedRequest, caller: CallerConnection) {
        log(rejection, received)
        when (rejection) {
            is Rejection.Temporary ->
                caller.writeRejection(rejection.cause.status, rejection.cause.code, rejection.retryAfter)
            is Rejection.QuotaUsedUp ->
                caller.writeRejection(rejection.cause.status, rejection.cause.code, rejection.retryAfter)
            is Rejection.Permanent ->
                if (isOfPeer) {
                    caller.writeRejection(RefusalCause.NO_CONFIGURATION.status, rejection.code, retryAfter())
                } else {
                    caller.writeFailure(rejection.status, rejection.code)
                }
        }
    }

    private fun log(rejection: Rejection, received: ReceivedRequest) {
        dataPlane.log.write(LogEvent.FORWARD_ENDED) {
            field("request", dataPlane.wire.readRequest(received.head.headers()).requestId)
            field("outcome", rejection.code)
            field("host", received.head.headers().get(HttpHeaderNames.HOST))
            field("path", received.head.uri().substringBefore('?').take(MAX_LOGGED_PATH_CHARS))
            field("revision", dataPlane.fleet.configuration?.revision)
            field("revisionAgeMillis", dataPlane.confirmationAge()?.inWholeMilliseconds)
            if (rejection is Rejection.QuotaUsedUp) {
                field("workspace", rejection.policy.id)
                field("charge", rejection.charge)
                field("remaining", dataPlane.quotas.held(rejection.policy.id))
                field("loanRounds", loanRoundCount)
            }
        }
    }

    private fun decide(received: ReceivedRequest): Either<Rejection, Admitted> =
        either {
            val configuration =
                ensureNotNull(dataPlane.fleet.configuration) { temporaryRejection(RefusalCause.NO_CONFIGURATION) }
            ensure(!dataPlane.shutdown.rejectsArrival(received.receivedAt)) {
                Rejection.Temporary(RefusalCause.ENTRY_LEAVING, Duration.ZERO)
            }
            ensure(dataPlane.openExchangeCount < MAX_OPEN_EXCHANGES) { temporaryRejection(RefusalCause.ENTRY_LIMIT) }
            val route = ensureNotNull(route(configuration, received)) { rejectUnknown(NOT_FOUND, "unknown-route") }
            val head = dataPlane.wire.readRequest(received.head.headers())
            val id = ensureNotNull(head.requestId) { Rejection.Permanent(BAD_REQUEST, "missing-identity") }
            val policy = if (route.isPublic || !configuration.needsKeys) null else workspacePolicy(configuration, head)
            val charge = if (isOfPeer) null else policy?.let { chargeQuota(it, head) }
            Admitted(request(received, route, head, id, policy), charge)
        }

    private fun Raise<Rejection>.workspacePolicy(
        configuration: ForwardConfiguration,
        head: RequestHead,
    ): WorkspacePolicy {
        ensure(!areKeysUnconfirmed()) { temporaryRejection(RefusalCause.UNCONFIRMED_KEYS) }
        return ensureNotNull(head.key?.let { configuration.workspacesByKey[it] }) {
            rejectUnknown(UNAUTHORIZED, "unknown-key")
        }
    }

    private fun Raise<Rejection>.chargeQuota(
        policy: WorkspacePolicy,
        head: RequestHead,
    ): Exchange.QuotaCharge {
        val amount = policy.charge(head.totalTokens)
        val isAdmitted = dataPlane.quotas.tryConsume(policy, amount, dataPlane.now(), loanRound)
        ensure(isAdmitted) { Rejection.QuotaUsedUp(policy, amount, retryAfter()) }
        return Exchange.QuotaCharge(policy, amount)
    }

    private fun route(configuration: ForwardConfiguration, received: ReceivedRequest): ForwardRoute? {
        val host = received.head.headers().get(HttpHeaderNames.HOST) ?: return null
        return configuration.route(host.substringBefore(':'), received.head.uri().substringBefore('?'))
    }

    private fun request(
        received: ReceivedRequest,
        route: ForwardRoute,
        head: RequestHead,
        id: String,
        policy: WorkspacePolicy?,
    ): ForwardRequest =
        ForwardRequest(
            id = id,
            route = route,
            service = route.destination(dataPlane.random),
            workspace = policy?.id,
            rank = policy?.rank ?: route.rank,
            receivedAt = received.arrivedAt,
            deadline = received.arrivedAt + minOf(head.timeLimit ?: route.timeLimit, route.timeLimit),
            promptTokens = head.promptTokens,
            answerTokens = head.answerTokens,
            promptParts = head.promptParts,
            isRelayed = isOfPeer,
            fingerprint =
            lazy(LazyThreadSafetyMode.NONE) { RequestFingerprints.of(received.head, received.body, policy?.id) },
        )

    private fun exchange(received: ReceivedRequest, caller: CallerConnection, admitted: Admitted): Exchange {
        dataPlane.retryBudget.recordRequest(admitted.request.service, dataPlane.fleet.entries.size, dataPlane.now())
        return Exchange(dataPlane, caller, admitted.request, received.head, received.body, admitted.charge)
    }

    /** Returns whether the last confirmation is so old that a key may have been revoked since. */
    private fun areKeysUnconfirmed(): Boolean {
        val age = dataPlane.confirmationAge() ?: return true
        return age >= dataPlane.settings.bounds.maxConfirmationAge - CONFIRMATION_MARGIN
    }

    /**
     * Returns the rejection of an unknown route or key.
     *
     * Where the configuration was not confirmed lately, the rejection is temporary: a newer configuration may know it.
     */
    private fun rejectUnknown(status: Int, code: String): Rejection {
        val age = dataPlane.confirmationAge()
        if (age == null || age > MAX_CURRENT_AGE) return temporaryRejection(RefusalCause.NO_CONFIGURATION)
        return Rejection.Permanent(status, code)
    }

    private fun temporaryRejection(cause: RefusalCause): Rejection =
        Rejection.Temporary(cause, retryAfter())

    private fun retryAfter(): Duration = Random.nextInt(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS).milliseconds

    private class Admitted(val request: ForwardRequest, val charge: Exchange.QuotaCharge?)

    private sealed interface Rejection {
        val code: String

        class Temporary(val cause: RefusalCause, val retryAfter: Duration) : Rejection {
            override val code: String get() = cause.code
        }

        /** The quota of a workspace does not cover the [charge] of a request. */
        class QuotaUsedUp(val policy: WorkspacePolicy, val charge: Double, val retryAfter: Duration) : Rejection {
            val cause: RefusalCause get() = RefusalCause.WORKSPACE_LIMIT
            override val code: String get() = cause.code
        }

        class Permanent(val status: Int, override val code: String) : Rejection
    }

    private companion object {
        const val NOT_FOUND = 404
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val MAX_OPEN_EXCHANGES = 1_000
        const val MAX_LOGGED_PATH_CHARS = 100
        const val MIN_RETRY_AFTER_MILLIS = 200
        const val MAX_RETRY_AFTER_MILLIS = 700
        val CONFIRMATION_MARGIN = 150.milliseconds
        val MAX_CURRENT_AGE = 1_900.milliseconds
    }
}
