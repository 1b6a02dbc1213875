package org.yuccajunction.entry.serving

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import org.yuccajunction.document.CallRule
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestClass
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.record.BeginResult
import org.yuccajunction.traffic.CallRequest
import org.yuccajunction.traffic.SilenceTimeout
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which entry executes an application call.
 *
 * The entry that received the call executes it if it is idempotent. Any other call is executed only by the home of its
 * identity, which is the entry that the identity names.
 */
internal class CallDispatcher(private val state: ServingState, private val admission: Admission) {
    private val context = state.context

    /** Executes an idempotent call at this entry. */
    suspend fun executeIdempotent(
        call: ForwardedCall,
        rule: CallRule,
    ): ForwardOutcome = callExecutor(call, rule, true).execute()

    /** Has a call that is not idempotent executed at most once, by the home of its identity. */
    suspend fun executeAtMostOnce(call: ForwardedCall): ForwardOutcome =
        if (call.requestId.home == context.self) executeAtHome(call) else forwardToHome(call)

    /** Returns the outcome of a call that another entry forwarded; never forwards the call again. */
    suspend fun executeForwarded(call: ForwardedCall): ForwardOutcome =
        if (call.requestId.home == context.self) executeAtHome(call) else answerForHome(call)

    private suspend fun executeAtHome(call: ForwardedCall): ForwardOutcome {
        val joined = CompletableDeferred<ForwardOutcome>()
        val beginResult =
            state.records.begin(call.requestId, call.fingerprint(), state.requestIds.epoch) { joined.complete(it) }
        return when (beginResult) {
            is BeginResult.Execute -> state.scope.async { executeAndRecord(call) }.await()
            is BeginResult.Join -> joined.await()
            is BeginResult.Known -> beginResult.outcome
            is BeginResult.Expired ->
                ForwardOutcome.Unknown(
                    "the identity ${call.requestId} has expired, and with it the record of the request",
                )
            is BeginResult.Full -> refusal(RefusalReason.ENTRY_LIMIT, "the entry's at-most-once records are full")
            is BeginResult.Closed ->
                refusal(RefusalReason.HOME_LEFT, "the home of the request, ${call.requestId.home}, is leaving")
            is BeginResult.Mismatch ->
                refusal(RefusalReason.BAD_REQUEST, "the identity ${call.requestId} already belongs to another request")
        }
    }

    /** Executes the call and records the outcome, even if the caller no longer waits. */
    private suspend fun executeAndRecord(call: ForwardedCall): ForwardOutcome {
        var outcome: ForwardOutcome = ForwardOutcome.Unknown("the execution of the call was aborted")
        try {
            outcome = executeWithSlot(call)
        } finally {
            state.records.recordOutcome(call.requestId, outcome)
        }
        return outcome
    }

    private suspend fun executeWithSlot(call: ForwardedCall): ForwardOutcome {
        val workspace =
            context.table().workspaces.values.firstOrNull { it.name == call.workspace }
                ?: return refusal(RefusalReason.UNKNOWN_KEY, "this entry doesn't know the workspace ${call.workspace}")
        val refusal = admission.acquireSlot(workspace)
        if (refusal != null) return refusal(refusal.reason, refusal.detail)
        try {
            return callExecutor(call, callRule(call), false).execute()
        } finally {
            admission.releaseSlot(workspace)
        }
    }

    private suspend fun forwardToHome(call: ForwardedCall): ForwardOutcome {
        val home = context.table().homes[call.requestId.home] ?: return answerForHome(call)
        val successor = home.successorEndpoint
        val firstOutcome = context.ports.peers.forward(successor ?: home.peerEndpoint, call, forwardTimeout(call))
        if (firstOutcome !is ForwardOutcome.Unknown || successor != null) return firstOutcome
        val newSuccessor = context.table().homes[call.requestId.home]?.successorEndpoint ?: return firstOutcome
        return context.ports.peers.forward(newSuccessor, call, forwardTimeout(call))
    }

    private fun answerForHome(call: ForwardedCall): ForwardOutcome =
        state.handedRecords.outcomeOf(call.requestId)
            ?: ForwardOutcome.Unknown("the home of the request, ${call.requestId.home}, is not a known entry")

    private fun forwardTimeout(call: ForwardedCall): Duration {
        val service = context.table().services[call.service] ?: return FORWARD_MARGIN
        return SilenceTimeout.answer(service) + FORWARD_MARGIN
    }

    private fun callRule(call: ForwardedCall): CallRule? =
        context.table().services[call.service]?.let { CallPath(call.service, call.target).rule(call.method, it) }

    private fun callExecutor(call: ForwardedCall, rule: CallRule?, idempotent: Boolean): CallExecutor {
        val request =
            CallRequest(
                requestId = call.requestId,
                workspace = call.workspace,
                requestClass = rule?.requestClass ?: RequestClass.ORDER,
                service = call.service,
                route = rule?.let { "${it.method} ${it.pathPrefix}" } ?: "*",
                idempotent = idempotent,
                deadline = call.deadlineMillis?.let { context.clock() + it.milliseconds },
            )
        return CallExecutor(context, state.environment, state.meters, request, call)
    }

    private fun refusal(reason: RefusalReason, detail: String): ForwardOutcome =
        ForwardOutcome.Refused(reason, DEFAULT_RETRY_AFTER_MILLIS, detail)

    private companion object {
        const val DEFAULT_RETRY_AFTER_MILLIS = 1_000L
        val FORWARD_MARGIN = 3.seconds
    }
}

/** Returns a value that is equal each time the same request is sent and differs for any other request. */
private fun ForwardedCall.fingerprint(): String =
    sha256("$workspace\n$service\n$method\n$target\n${sha256(body)}").take(FINGERPRINT_CHARACTERS)

private const val FINGERPRINT_CHARACTERS = 32
