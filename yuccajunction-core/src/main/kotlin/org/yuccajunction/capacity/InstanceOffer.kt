package org.yuccajunction.capacity

import org.yuccajunction.model.AvailabilityZone

/**
 * One kind of instance that the cloud may have.
 *
 * @property reclaimable whether the platform may take the instance back
 */
public data class InstanceOffer(
    public val availabilityZone: AvailabilityZone,
    public val reclaimable: Boolean,
    public val pricePerHour: Double,
)
