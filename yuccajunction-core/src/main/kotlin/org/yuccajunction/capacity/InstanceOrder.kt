package org.yuccajunction.capacity

import kotlinx.serialization.Serializable
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * Asks the cloud for one instance under a name that the sender chooses, so that a repeated order starts no second one.
 *
 * @property reclaimable whether the order is for the cheaper class that the platform may take back
 */
@Serializable
public data class InstanceOrder(
    public val name: InstanceId,
    public val service: ServiceName,
    public val version: ServiceVersion,
    public val availabilityZone: AvailabilityZone,
    public val reclaimable: Boolean,
)
