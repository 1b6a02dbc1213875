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
 * There is no queue: a request is admitted or refused at once. Lower request classes leave some permits to higher ones.
 * While capacity is short, a workspace may hold no more than its weighted fair share among the workspaces that sent
 * requests within [ACTIVITY_WINDOW]; a workspace that is active alone may hold all permits.
 */
internal class RequestAdmission {
    private val lastRequestAt = ConcurrentHashMap<WorkspaceId, MonotonicTime>()

    /** Returns the reason to refuse [query] under [usage] of the service's permits, null where it is admitted. */
    fun rejectionReason(query: RoutingQuery, kind: ServiceKind, table: RoutingTable, usage: PermitUsage): String? {
        if (query.workspace in table.workspaceWeights) lastRequestAt[query.workspace] = table.builtAt
        val fraction = permitFraction(query.requestClass)
        if (usage.used >= ceil(usage.capacity * fraction)) {
            return "${usage.used} of ${usage.capacity} permits in use; ${query.requestClass} may use $fraction of them"
        }
        val unrestricted =
            kind == ServiceKind.APPLICATION || usage.used < usage.capacity * SHORTAGE_UTILIZATION_FRACTION
        return if (unrestricted) null else fairShareExcess(query, table, usage)
    }

    private fun fairShareExcess(query: RoutingQuery, table: RoutingTable, usage: PermitUsage): String? {
        val fraction = weightedShare(query.workspace, table)
        val fairPermits = maxOf(1.0, ceil(usage.capacity * fraction))
        if (usage.usedByWorkspace <= fairPermits) return null
        return "capacity is short; ${query.workspace} uses ${usage.usedByWorkspace} permits, its share is $fairPermits"
    }

    private fun weightedShare(workspace: WorkspaceId, table: RoutingTable): Double {
        val own = table.workspaceWeights[workspace] ?: return 1.0
        val active = table.workspaceWeights.filterKeys { isActive(it, table.builtAt) }.values.sum()
        return own / active
    }

    private fun isActive(workspace: WorkspaceId, now: MonotonicTime): Boolean {
        val at = lastRequestAt[workspace] ?: return false
        return now - at <= ACTIVITY_WINDOW
    }

    private fun permitFraction(requestClass: RequestClass): Double =
        when (requestClass) {
            RequestClass.ORDER -> 1.0
            RequestClass.INTERACTIVE -> INTERACTIVE_PERMIT_FRACTION
            RequestClass.DRAFT -> DRAFT_PERMIT_FRACTION
        }

    /**
     * The use of one service's permits at this entry.
     *
     * @property used requests open at the service's servers
     * @property capacity permits at the service's servers
     * @property usedByWorkspace open requests of the query's workspace, the query's request included
     */
    data class PermitUsage(val used: Int, val capacity: Int, val usedByWorkspace: Int)

    private companion object {
        const val DRAFT_PERMIT_FRACTION = 0.9
        const val INTERACTIVE_PERMIT_FRACTION = 0.97
        const val SHORTAGE_UTILIZATION_FRACTION = 0.8
        val ACTIVITY_WINDOW = 10.seconds
    }
}
