package org.yuccajunction.entry.serving

import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.model.Ending
import org.yuccajunction.model.Header
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.routing.ServiceRoute
import kotlin.time.Duration.Companion.milliseconds

/** Serves calls below `/apps/`. */
internal class CallHandler(private val state: ServingState, private val admission: Admission) {
    suspend fun handle(call: ApplicationCall) {
        val rule = admission.workspace(call) ?: return call.refuse(RefusalReason.UNKNOWN_KEY, "the key is not known")
        val path = CallPath.parse(call.request.uri)
        val service = path?.let { state.context.table().services[it.service] }
        if (path == null || service == null) {
            return call.refuse(RefusalReason.UNKNOWN_SERVICE, "there is no such application")
        }
        val refusal = admission.withPlace(rule) { serve(call, rule, path, service) }
        if (refusal != null) call.refuse(refusal.reason, refusal.detail)
    }

    private suspend fun serve(call: ApplicationCall, rule: WorkspaceRule, path: CallPath, service: ServiceRoute) {
        val limit = state.context.limits.bodyBytes
        val body =
            call.readBody(limit)
                ?: return call.refuse(RefusalReason.TOO_LARGE, "the body is longer than $limit bytes")
        val id = call.requestId() ?: return call.refuse(RefusalReason.BAD_REQUEST, "the request identity is unreadable")
        val method = call.request.httpMethod.value
        val forwarded =
            ForwardedCall(id, rule.name, service.name, method, path.target, call.endToEndHeaders(), body)
        val covering = path.rule(method, service)
        val outcome = CallDispatcher(state).run(forwarded, covering, call.deadlineMillis())
        call.response.header(REQUEST_ID_HEADER, id.toString())
        call.respondOutcome(outcome)
    }

    private fun ApplicationCall.requestId(): RequestId? {
        val text = request.headers[REQUEST_ID_HEADER] ?: return state.identities.next()
        return RequestId.parse(text)
    }

    private suspend fun ApplicationCall.respondOutcome(outcome: ForwardOutcome) =
        when (outcome) {
            is ForwardOutcome.Answered -> respondAnswer(outcome.status, outcome.headers, outcome.body)
            is ForwardOutcome.Refused -> refuse(outcome.reason, outcome.detail, outcome.retryAfterMillis)
            is ForwardOutcome.Unknown -> respondProblem(state.problems.of(Ending.OutcomeUnknown(outcome.detail)))
        }

    private suspend fun ApplicationCall.refuse(reason: RefusalReason, detail: String, retryAfterMillis: Long = 1_000) {
        state.meters.refused(reason.code)
        respondProblem(state.problems.refusal(reason, detail, retryAfterMillis.milliseconds))
    }
}

private val DROPPED_HEADERS =
    setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "authorization",
        "content-length",
        "x-request-id",
        "x-attempt-id",
    )

/** Returns the headers that reach the application: neither hop-by-hop ones nor the workspace's key. */
private fun ApplicationCall.endToEndHeaders(): List<Header> {
    val named = request.headers.getAll("Connection").orEmpty().flatMap { it.split(',') }.map { it.trim().lowercase() }
    return request.headers.entries()
        .filterNot { (name, _) -> name.lowercase() in DROPPED_HEADERS || name.lowercase() in named }
        .flatMap { (name, values) -> values.map { Header(name, it) } }
}

/** Returns the time that the caller gives the request, null where it says nothing readable. */
internal fun ApplicationCall.deadlineMillis(): Long? =
    request.headers["Yucca-Deadline-Millis"]?.toLongOrNull()?.takeIf { it > 0 }
