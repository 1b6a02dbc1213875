package org.yuccajunction.entry.serving

import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import org.yuccajunction.document.CallRule
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.model.Ending
import org.yuccajunction.model.Header
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.record.IdempotencyClaims
import kotlin.time.Duration.Companion.milliseconds

/** Serves application calls, whose paths start with `/apps/`. */
internal class CallHandler(private val state: ServingState, private val admission: Admission) {
    private val dispatcher = CallDispatcher(state, admission)
    private val idempotencyClaims = IdempotencyClaims(state.context.ports.objects)

    suspend fun handle(call: ApplicationCall) {
        val workspace =
            admission.findWorkspace(call)
                ?: return call.refuse(RefusalReason.UNKNOWN_KEY, "the Authorization header holds no known key")
        val path = CallPath.parse(call.request.uri)
        val service = path?.let { state.context.table().services[it.service] }
        if (path == null || service == null) {
            return call.refuse(RefusalReason.UNKNOWN_SERVICE, "the path names no configured application")
        }
        val rule = path.rule(call.request.httpMethod.value, service)
        if (rule?.idempotent == true) {
            val refusal = admission.withSlot(workspace) { serveIdempotent(call, workspace, path, rule) }
            if (refusal != null) call.refuse(refusal.reason, refusal.detail)
        } else {
            serveAtMostOnce(call, workspace, path)
        }
    }

    private suspend fun serveIdempotent(
        call: ApplicationCall,
        workspace: WorkspaceRule,
        path: CallPath,
        rule: CallRule,
    ) {
        val id = call.requestId() ?: return call.refuse(RefusalReason.BAD_REQUEST, "$REQUEST_ID_HEADER is malformed")
        val forwarded = readForwardedCall(call, workspace, path, id) ?: return
        call.respondOutcome(id, dispatcher.executeIdempotent(forwarded, rule))
    }

    private suspend fun serveAtMostOnce(call: ApplicationCall, workspace: WorkspaceRule, path: CallPath) {
        val id = call.identityForAtMostOnce(workspace, path) ?: return
        val forwarded = readForwardedCall(call, workspace, path, id) ?: return
        call.respondOutcome(id, dispatcher.executeAtMostOnce(forwarded))
    }

    /** Returns the identity of a call that is not idempotent; null if the refusal was already sent. */
    private suspend fun ApplicationCall.identityForAtMostOnce(workspace: WorkspaceRule, path: CallPath): RequestId? {
        val key = request.headers[IDEMPOTENCY_KEY_HEADER]
        if (request.headers[REQUEST_ID_HEADER] != null || key == null) {
            return requestId() ?: null.also { refuse(RefusalReason.BAD_REQUEST, "$REQUEST_ID_HEADER is malformed") }
        }
        val digest = sha256("${workspace.name}\n${path.service}\n$key")
        return idempotencyClaims.claim(digest, state.requestIds.next())
            ?: null.also { refuse(RefusalReason.STORE_UNAVAILABLE, "the store can't record the idempotency key now") }
    }

    private suspend fun readForwardedCall(
        call: ApplicationCall,
        workspace: WorkspaceRule,
        path: CallPath,
        id: RequestId,
    ): ForwardedCall? {
        val limit = state.context.limits.bodyBytes
        val body = call.readBody(limit)
        if (body == null) {
            call.refuse(RefusalReason.TOO_LARGE, "the body is longer than $limit bytes")
            return null
        }
        val method = call.request.httpMethod.value
        val headers = call.endToEndHeaders()
        return ForwardedCall(
            id,
            workspace.name,
            path.service,
            method,
            path.target,
            headers,
            body,
            call.deadlineMillis(),
        )
    }

    private fun ApplicationCall.requestId(): RequestId? {
        val text = request.headers[REQUEST_ID_HEADER] ?: return state.requestIds.next()
        return RequestId.parse(text)
    }

    private suspend fun ApplicationCall.respondOutcome(id: RequestId, outcome: ForwardOutcome) {
        response.header(REQUEST_ID_HEADER, id.toString())
        when (outcome) {
            is ForwardOutcome.Answered -> respondAnswer(outcome.status, outcome.headers, outcome.body)
            is ForwardOutcome.Refused -> refuse(outcome.reason, outcome.detail, outcome.retryAfterMillis)
            is ForwardOutcome.Unknown -> respondProblem(state.problems.of(Ending.OutcomeUnknown(outcome.detail)))
        }
    }

    private suspend fun ApplicationCall.refuse(reason: RefusalReason, detail: String, retryAfterMillis: Long = 1_000) {
        state.meters.countRefused(reason.code)
        respondProblem(state.problems.refusal(reason, detail, retryAfterMillis.milliseconds))
    }
}

internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

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

/** Returns the headers to forward to the application: neither hop-by-hop headers nor the workspace's key. */
private fun ApplicationCall.endToEndHeaders(): List<Header> {
    val connectionHeaders =
        request.headers.getAll("Connection").orEmpty().flatMap { it.split(',') }.map { it.trim().lowercase() }
    return request.headers.entries()
        .filterNot { (name, _) -> name.lowercase() in DROPPED_HEADERS || name.lowercase() in connectionHeaders }
        .flatMap { (name, values) -> values.map { Header(name, it) } }
}

/** Returns the caller's time limit for the request in milliseconds; null if the header is missing or invalid. */
internal fun ApplicationCall.deadlineMillis(): Long? =
    request.headers["Yucca-Deadline-Millis"]?.toLongOrNull()?.takeIf { it > 0 }
