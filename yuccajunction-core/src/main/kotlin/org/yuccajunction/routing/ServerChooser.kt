package org.yuccajunction.routing

import kotlin.random.Random

/** Chooses a backend server for one attempt from the newest routing table and this entry's open requests. */
public fun interface ServerChooser {
    public fun choose(
        query: RoutingQuery,
        table: RoutingTable,
        openRequests: OpenRequests,
        random: Random,
    ): RoutingDecision
}
