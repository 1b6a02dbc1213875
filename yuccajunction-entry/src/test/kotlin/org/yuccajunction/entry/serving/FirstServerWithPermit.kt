package org.yuccajunction.entry.serving

import org.yuccajunction.model.RefusalReason
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.ServerChooser
import org.yuccajunction.routing.ServerState
import kotlin.time.Duration.Companion.seconds

/** Chooses the first server with a free permit, so that tests of serving don't depend on the load balancing. */
internal val firstServerWithPermit =
    ServerChooser { query, table, openRequests, _ ->
        val servers = table.services[query.service]?.servers.orEmpty()
        servers
            .filter { it.state != ServerState.LEAVING && it.id !in query.failedServers }
            .firstOrNull { openRequests.tryAcquire(it.id, it.permits) }
            ?.let { RoutingDecision.Use(it) }
            ?: RoutingDecision.Refuse(RefusalReason.NO_CAPACITY, 1.seconds, "no permit left")
    }
