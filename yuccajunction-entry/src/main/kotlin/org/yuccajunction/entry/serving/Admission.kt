package org.yuccajunction.entry.serving

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.WorkspaceId
import java.security.MessageDigest
import java.util.HexFormat

/** Authenticates callers and enforces the limits on open requests of the entry and of each workspace. */
internal class Admission(private val state: ServingState) {
    /** Returns the rule of the workspace whose key [call] carries; null if the key is missing or unknown. */
    fun findWorkspace(call: ApplicationCall): WorkspaceRule? {
        val header = call.request.headers[HttpHeaders.Authorization] ?: return null
        if (!header.startsWith(BEARER, ignoreCase = true)) return null
        return state.context.table().workspaces[sha256(header.substring(BEARER.length).trim())]
    }

    /**
     * Executes [request] while it holds one slot of the entry and one of the workspace.
     *
     * Returns why no slot was free; null if [request] was executed.
     */
    suspend fun withSlot(rule: WorkspaceRule, request: suspend () -> Unit): CallerRefusal? {
        val refusal = acquireSlot(rule)
        if (refusal != null) return refusal
        try {
            request()
        } finally {
            releaseSlot(rule)
        }
        return null
    }

    /** Acquires one slot of the entry and one of the workspace; returns null, or the reason why none was acquired. */
    fun acquireSlot(rule: WorkspaceRule): CallerRefusal? {
        if (state.phase == ServingPhase.FINISHING) {
            return CallerRefusal(RefusalReason.ENTRY_LEAVING, "this entry is shutting down")
        }
        val limit = state.context.limits.openRequests
        if (state.openRequestCount.incrementAndGet() > limit) {
            state.openRequestCount.decrementAndGet()
            return CallerRefusal(RefusalReason.ENTRY_LIMIT, "the entry holds $limit open requests")
        }
        if (!state.context.openRequests.tryAcquire(rule.name, rule.openRequestLimit)) {
            state.openRequestCount.decrementAndGet()
            val detail = "the workspace holds ${rule.openRequestLimit} open requests at this entry"
            return CallerRefusal(RefusalReason.WORKSPACE_LIMIT, detail)
        }
        return null
    }

    /** Acquires the slots of a request that another entry has accepted, also beyond the limits. */
    fun acquireSlotBeyondLimits(workspace: WorkspaceId) {
        state.openRequestCount.incrementAndGet()
        state.context.openRequests.tryAcquire(workspace, Int.MAX_VALUE)
    }

    /** Releases the slots that [acquireSlot] acquired. */
    fun releaseSlot(rule: WorkspaceRule) = releaseSlot(rule.name)

    /** Releases the slots that [acquireSlot] or [acquireSlotBeyondLimits] acquired. */
    fun releaseSlot(workspace: WorkspaceId) {
        state.context.openRequests.release(workspace)
        state.openRequestCount.decrementAndGet()
    }
}

private const val BEARER = "Bearer "

/** Returns the SHA-256 of [text] in lower-case hexadecimal. */
internal fun sha256(text: String): String = sha256(text.toByteArray())

/** Returns the SHA-256 of [bytes] in lower-case hexadecimal. */
internal fun sha256(bytes: ByteArray): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
