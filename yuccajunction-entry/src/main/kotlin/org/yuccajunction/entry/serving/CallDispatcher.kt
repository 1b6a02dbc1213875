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

/** Decides where a call is run: idempotent ones here, others only at the home of their identity. */
internal class CallDispatcher(private val state: ServingState, private val admission: Admission) {
    private val context = state.context

    /** Runs an idempotent call here. */
    suspend fun executeIdempotent(
        call: ForwardedCall,
        rule: CallRule,
    ): ForwardOutcome = callExecutor(call, rule, true).execute()

    /** Lets the home of a call that is not idempotent run it, at most once. */
    suspend fun executeAtMostOnce(call: ForwardedCall): ForwardOutcome =
        if (call.requestId.home == context.self) executeAtHome(call) else forwardToHome(call)

    /** Answers for a call that another entry forwarded; never forwards it again. */
    suspend fun executeForwarded(call: ForwardedCall): ForwardOutcome =
        if (call.requestId.home == context.self) executeAtHome(call) else answerForHome(call)

    private suspend fun executeAtHome(call: ForwardedCall): ForwardOutcome {
        val joined = CompletableDeferred<ForwardOutcome>()
        val beginning =
            state.records.begin(call.requestId, call.fingerprint(), state.requestIds.epoch) { joined.complete(it) }
        return when (beginning) {
            is BeginResult.Execute -> state.scope.async { executeAndRecord(call) }.await()
            is BeginResult.Join -> joined.await()
            is BeginResult.Known -> beginning.outcome
            is BeginResult.Expired -> ForwardOutcome.Unknown("the identity of the request is too old")
            is BeginResult.Full -> refusal(RefusalReason.ENTRY_LIMIT, "the entry keeps no more records")
            is BeginResult.Closed -> refusal(RefusalReason.HOME_LEFT, "the home of the request is leaving")
            is BeginResult.Mismatch -> refusal(RefusalReason.BAD_REQUEST, "the identity serves another request")
        }
    }

    /** Runs the call and records its outcome, whether its caller still waits or not. */
    private suspend fun executeAndRecord(call: ForwardedCall): ForwardOutcome {
        var outcome: ForwardOutcome = ForwardOutcome.Unknown("the call was given up")
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
                ?: return refusal(RefusalReason.UNKNOWN_KEY, "the workspace is not known here")
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
        val first = context.ports.peers.forward(successor ?: home.peerEndpoint, call, forwardTimeout(call))
        if (first !is ForwardOutcome.Unknown || successor != null) return first
        val named = context.table().homes[call.requestId.home]?.successorEndpoint ?: return first
        return context.ports.peers.forward(named, call, forwardTimeout(call))
    }

    private fun answerForHome(call: ForwardedCall): ForwardOutcome =
        state.handedRecords.outcomeOf(call.requestId)
            ?: ForwardOutcome.Unknown("the home of the request, ${call.requestId.home}, is not known")

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

/** Equal for all sendings of one request, and for no other request of any workspace. */
private fun ForwardedCall.fingerprint(): String =
    sha256("$workspace\n$service\n$method\n$target\n${sha256(body)}").take(FINGERPRINT_CHARACTERS)

private const val FINGERPRINT_CHARACTERS = 32
