package org.yuccajunction.control

import org.yuccajunction.model.RefusalReason
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.ServerChooser
import org.yuccajunction.routing.ServerRoute
import org.yuccajunction.routing.ServerState
import kotlin.time.Duration.Companion.seconds

/** Plain choosers to compare with: they know no prefixes, classes, workspaces or predictions. */
object BaselineChoosers {
    fun roundRobin(): ServerChooser {
        var next = 0
        return ServerChooser { query, table, open, _ ->
            val servers = table.services.getValue(query.service).servers.filter { it.id !in query.failedServers }
            val turn = next++
            acquireFirst(
                servers.indices.map {
                    servers[(turn + it) % servers.size]
                },
            ) { open.tryAcquire(it.id, PERMITS_PER_ENTRY) }
        }
    }

    fun leastRequests() =
        ServerChooser { query, table, open, random ->
            val servers = table.services.getValue(query.service).servers.filter { it.id !in query.failedServers }
            acquireFirst(
                servers.shuffled(random).sortedBy {
                    open.countAt(it.id)
                },
            ) { open.tryAcquire(it.id, PERMITS_PER_ENTRY) }
        }

    private fun acquireFirst(servers: List<ServerRoute>, acquire: (ServerRoute) -> Boolean): RoutingDecision {
        val usable = servers.filter { it.state != ServerState.LEAVING }
        return usable.firstOrNull(acquire)?.let { RoutingDecision.Use(it) }
            ?: RoutingDecision.Refuse(RefusalReason.NO_CAPACITY, 1.seconds, "full")
    }

    /** Half of the limit, for models of two entries. */
    private const val PERMITS_PER_ENTRY = ServiceSimulation.LIMIT / 2
}
