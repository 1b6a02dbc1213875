package org.yuccajunction.duty

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.ServiceName

/**
 * Asks the platform to provide [desired] backend servers of [service] in availability zone [zone].
 *
 * Reclaimable servers and on-demand servers are counted separately: an order sets only the count of its own class.
 *
 * @property isReclaimable whether the order is for servers that the platform may take back, else for on-demand servers
 */
public data class CapacityOrder(
    public val service: ServiceName,
    public val zone: AvailabilityZone,
    public val desired: Int,
    public val isReclaimable: Boolean,
)
