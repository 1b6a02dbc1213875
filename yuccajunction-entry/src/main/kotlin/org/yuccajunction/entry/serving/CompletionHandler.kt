package org.yuccajunction.entry.serving

import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestId
import org.yuccajunction.traffic.StreamRequest
import kotlin.time.Duration.Companion.milliseconds

/** Serves `POST /v1/chat/completions`. */
internal class CompletionHandler(private val state: ServingState, private val admission: Admission) {
    private val launcher = StreamLauncher(state, admission)
    private val responses = CompletionResponses(state)

    suspend fun handle(call: ApplicationCall) {
        val rule =
            admission.findWorkspace(call)
                ?: return call.refuse(RefusalReason.UNKNOWN_KEY, "the Authorization header holds no known key")
        val limit = state.context.limits.bodyBytes
        val bytes =
            call.readBody(limit)
                ?: return call.refuse(RefusalReason.TOO_LARGE, "the body is longer than $limit bytes")
        val body =
            CompletionBody.parse(bytes)
                ?: return call.refuse(RefusalReason.BAD_REQUEST, "the body is not a valid chat completion request")
        if (body.model !in state.context.table().services) {
            return call.refuse(RefusalReason.UNKNOWN_SERVICE, "the body names no configured model")
        }
        serve(call, rule, body)
    }

    private suspend fun serve(call: ApplicationCall, rule: WorkspaceRule, body: CompletionBody) {
        val resume = StreamPosition.parse(call.request.headers["Last-Event-ID"])
        val id = resume?.requestId ?: call.requestId()
        if (id == null) return call.refuse(RefusalReason.BAD_REQUEST, "$REQUEST_ID_HEADER is malformed")
        val next = resume?.let { it.offset + 1 } ?: 0
        val held = state.streams.find(id)?.takeIf { it.request.workspace == rule.name && it.covers(next) }
        val stream = held ?: startStream(call, rule, body, id, next) ?: return
        if (resume != null) state.meters.countResumed(if (held != null) "held" else "text")
        call.response.header(REQUEST_ID_HEADER, id.toString())
        responses.send(call, stream, next, body)
    }

    private suspend fun startStream(
        call: ApplicationCall,
        rule: WorkspaceRule,
        body: CompletionBody,
        id: RequestId,
        next: Int,
    ): HeldStream? {
        if (next > 0 && body.heldText.isEmpty()) {
            call.refuse(
                RefusalReason.BAD_REQUEST,
                "this entry doesn't hold the stream; resend the text received so far as the last message",
            )
            return null
        }
        val refusal = admission.acquireSlot(rule)
        if (refusal != null) {
            call.refuse(refusal.reason, refusal.detail)
            return null
        }
        val stream = createStream(call, rule, body, id, next)
        holdAndLaunch(stream)
        return stream
    }

    private fun createStream(
        call: ApplicationCall,
        rule: WorkspaceRule,
        body: CompletionBody,
        id: RequestId,
        next: Int,
    ): HeldStream {
        val time = call.deadlineMillis()?.milliseconds ?: state.context.limits.requestTimeLimit
        val request =
            StreamRequest(
                requestId = id,
                workspace = rule.name,
                requestClass = rule.modelClass,
                service = body.model,
                route = COMPLETIONS_ROUTE,
                prefixKey = body.prefixKey,
                promptTokens = body.promptTokens,
                generatedTokens = next,
                deadline = state.context.clock() + minOf(time, state.context.limits.requestTimeLimit),
                tokenLimit = state.context.limits.streamTokens,
            )
        return HeldStream(request, body.fields, body.heldText, next, emptyList(), state.context.clock)
    }

    private fun holdAndLaunch(stream: HeldStream) {
        val id = stream.request.requestId
        val former = state.streams.find(id)
        if (former == null) state.streams.addIfAbsent(stream) else state.streams.replace(former, stream)
        launcher.launch(stream)
    }

    private fun ApplicationCall.requestId(): RequestId? {
        val text = request.headers[REQUEST_ID_HEADER] ?: return state.requestIds.next()
        return RequestId.parse(text)
    }

    private suspend fun ApplicationCall.refuse(reason: RefusalReason, detail: String) {
        state.meters.countRefused(reason.code)
        respondProblem(state.problems.refusal(reason, detail))
    }
}
