package org.yuccajunction.routing

import kotlin.random.Random

/** Chooses a backend server for one attempt from the newest table and the open requests of this entry. */
public fun interface ServerChooser {
    public fun choose(
        query: RoutingQuery,
        table: RoutingTable,
        openRequests: OpenRequests,
        random: Random,
    ): RoutingDecision
}
