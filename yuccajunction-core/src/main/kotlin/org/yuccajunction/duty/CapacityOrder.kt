package org.yuccajunction.duty

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.ServiceName

/** An order for [desired] servers of [service] in [zone]; reclaimable servers and others are ordered apart. */
public data class CapacityOrder(
    public val service: ServiceName,
    public val zone: AvailabilityZone,
    public val desired: Int,
    public val isReclaimable: Boolean,
)
