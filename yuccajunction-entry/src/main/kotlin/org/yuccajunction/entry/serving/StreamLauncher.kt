package org.yuccajunction.entry.serving

import kotlinx.coroutines.launch
import org.yuccajunction.model.Ending
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.record.HandedStream
import org.yuccajunction.traffic.StreamRequest

/** Starts the execution of held streams. */
internal class StreamLauncher(private val state: ServingState, private val admission: Admission) {
    /** Executes [stream], which holds a slot, in the background; releases the slot when the execution ends. */
    fun launch(stream: HeldStream) {
        val workspace: WorkspaceId = stream.request.workspace
        val executor = StreamExecutor(state.context, state.environment, state.meters, stream)
        state.scope.launch { executor.execute() }.invokeOnCompletion {
            stream.end(StreamEnd(Ending.Failed(INTERNAL_ERROR, "the entry failed to execute the request")))
            admission.releaseSlot(workspace)
        }
    }

    /** Continues a stream that a leaving entry handed over; returns false if the body of the stream is invalid. */
    fun takeOver(handed: HandedStream): Boolean {
        val body = CompletionBody.parse(handed.body.toByteArray()) ?: return false
        val request =
            StreamRequest(
                requestId = handed.requestId,
                workspace = handed.workspace,
                requestClass = handed.requestClass,
                service = handed.service,
                route = COMPLETIONS_ROUTE,
                prefixKey = body.prefixKey,
                promptTokens = body.promptTokens,
                generatedTokens = handed.baseTokens + handed.tokens.size,
                deadline = state.context.clock() + state.context.limits.requestTimeLimit,
                tokenLimit = state.context.limits.streamTokens,
            )
        val context = state.context
        val stream =
            HeldStream(request, body.fields, handed.baseText, handed.baseTokens, handed.tokens, context.clock)
        if (state.streams.addIfAbsent(stream) != null) return true
        admission.acquireSlotBeyondLimits(handed.workspace)
        state.meters.countResumed("handed")
        launch(stream)
        return true
    }
}

private const val INTERNAL_ERROR = 500

/** The route of model requests in observations. */
internal const val COMPLETIONS_ROUTE = "POST /v1/chat/completions"
