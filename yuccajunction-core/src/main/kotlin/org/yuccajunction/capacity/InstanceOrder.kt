package org.yuccajunction.capacity

import kotlinx.serialization.Serializable
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * Asks the cloud for one instance under a name chosen beforehand, so that a lost answer starts nothing twice.
 *
 * @property reclaimable whether the cheaper, reclaimable class is asked for
 */
@Serializable
public data class InstanceOrder(
    public val name: InstanceId,
    public val service: ServiceName,
    public val version: ServiceVersion,
    public val availabilityZone: AvailabilityZone,
    public val reclaimable: Boolean,
)
