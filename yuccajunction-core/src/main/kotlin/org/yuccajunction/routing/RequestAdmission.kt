package org.yuccajunction.routing

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceKind
import org.yuccajunction.model.WorkspaceId
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.ceil
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which requests may use the permits of a service when there are not enough for all.
 *
 * Nothing waits: a request is admitted or refused at once. Lower classes leave some permits to higher ones. While
 * capacity is short, a workspace may hold no more than its weighted part among the workspaces that asked lately; a
 * workspace that asks alone may hold everything.
 */
internal class RequestAdmission {
    private val askedAt = ConcurrentHashMap<WorkspaceId, MonotonicTime>()

    /** Returns why [query] is not admitted where [used] of [capacity] permits are taken, or null where it is. */
    fun refusal(query: RoutingQuery, kind: ServiceKind, table: RoutingTable, load: Load): String? {
        if (query.workspace in table.weights) askedAt[query.workspace] = table.madeAt
        val part = classPart(query.requestClass)
        if (load.used >= ceil(load.capacity * part)) {
            return "${load.used} of ${load.capacity} permits are taken; ${query.requestClass} may use $part of them"
        }
        val fair = kind == ServiceKind.APPLICATION || load.used < load.capacity * SHORT_FROM
        return if (fair) null else unfairness(query, table, load)
    }

    private fun unfairness(query: RoutingQuery, table: RoutingTable, load: Load): String? {
        val part = weightedPart(query.workspace, table)
        val fairPermits = maxOf(1.0, ceil(load.capacity * part))
        if (load.ofWorkspace <= fairPermits) return null
        return "capacity is short and ${query.workspace} holds ${load.ofWorkspace} of its $fairPermits permits"
    }

    private fun weightedPart(workspace: WorkspaceId, table: RoutingTable): Double {
        val own = table.weights[workspace] ?: return 1.0
        val active = table.weights.filterKeys { askedLately(it, table.madeAt) }.values.sum()
        return own / active
    }

    private fun askedLately(workspace: WorkspaceId, now: MonotonicTime): Boolean {
        val at = askedAt[workspace] ?: return false
        return now - at <= ACTIVITY
    }

    private fun classPart(requestClass: RequestClass): Double =
        when (requestClass) {
            RequestClass.ORDER -> 1.0
            RequestClass.INTERACTIVE -> INTERACTIVE_PART
            RequestClass.DRAFT -> DRAFT_PART
        }

    /**
     * The use of one service's permits at this entry.
     *
     * @property ofWorkspace open requests of the asking workspace, the asking one included
     */
    data class Load(val used: Int, val capacity: Int, val ofWorkspace: Int)

    private companion object {
        const val DRAFT_PART = 0.9
        const val INTERACTIVE_PART = 0.97
        const val SHORT_FROM = 0.8
        val ACTIVITY = 10.seconds
    }
}
