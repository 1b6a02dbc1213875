package org.yuccajunction.entry.serving

import org.yuccajunction.document.CallRule
import org.yuccajunction.model.RequestClass
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.traffic.CallRequest
import kotlin.time.Duration.Companion.milliseconds

/** Decides where a call is run: idempotent ones here, others only at the home of their identity. */
internal class CallDispatcher(private val state: ServingState) {
    suspend fun run(call: ForwardedCall, rule: CallRule?, deadlineMillis: Long?): ForwardOutcome =
        runHere(call, rule, deadlineMillis)

    private suspend fun runHere(call: ForwardedCall, rule: CallRule?, deadlineMillis: Long?): ForwardOutcome {
        val request =
            CallRequest(
                requestId = call.requestId,
                workspace = call.workspace,
                requestClass = rule?.requestClass ?: RequestClass.ORDER,
                service = call.service,
                route = rule?.let { "${it.method} ${it.pathPrefix}" } ?: "*",
                idempotent = rule?.idempotent ?: false,
                deadline = deadlineMillis?.let { state.context.clock() + it.milliseconds },
            )
        return CallRunner(state.context, state.environment, state.meters, request, call).run()
    }
}
