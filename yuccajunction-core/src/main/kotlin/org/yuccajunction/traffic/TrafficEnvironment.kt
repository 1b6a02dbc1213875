package org.yuccajunction.traffic

import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingTable
import org.yuccajunction.routing.ServerChooser
import kotlin.random.Random

/**
 * What the machines of all requests of one entry share.
 *
 * @property routingTable reads the newest routing table
 */
public class TrafficEnvironment(
    public val routingTable: () -> RoutingTable,
    public val chooser: ServerChooser,
    public val openRequests: OpenRequests,
    public val retryBudget: RetryBudget,
    public val random: Random,
)
