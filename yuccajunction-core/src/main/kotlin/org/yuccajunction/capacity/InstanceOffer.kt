package org.yuccajunction.capacity

import org.yuccajunction.model.AvailabilityZone

/**
 * A kind of instance that the cloud offers.
 *
 * @property reclaimable whether the platform may take the instance back, else the instance is on demand
 */
public data class InstanceOffer(
    public val availabilityZone: AvailabilityZone,
    public val reclaimable: Boolean,
    public val pricePerHour: Double,
)
