package org.yuccajunction.traffic

import org.yuccajunction.model.RefusalReason
import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.RoutingQuery
import org.yuccajunction.routing.RoutingTable
import org.yuccajunction.routing.ServerChooser
import org.yuccajunction.routing.ServerState
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Chooses the server with the fewest open requests, so that tests of request machines need no real routing. */
internal class LeastOpenServerChooser : ServerChooser {
    override fun choose(
        query: RoutingQuery,
        table: RoutingTable,
        openRequests: OpenRequests,
        random: Random,
    ): RoutingDecision {
        val servers = table.services[query.service]?.servers.orEmpty()
        val usable =
            servers.filter { it.permits > 0 && it.state != ServerState.LEAVING && it.id !in query.failedServers }
        val chosen =
            usable
                .shuffled(random)
                .sortedBy { openRequests.countAt(it.id) }
                .firstOrNull { openRequests.tryAcquire(it.id, it.permits) }
        if (chosen != null) return RoutingDecision.Use(chosen)
        val reason = if (usable.isEmpty()) RefusalReason.NO_BACKEND_SERVER else RefusalReason.NO_CAPACITY
        return RoutingDecision.Refuse(reason, 1.seconds, "no permit left")
    }
}
