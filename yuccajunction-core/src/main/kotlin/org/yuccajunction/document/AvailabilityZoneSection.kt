package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.AvailabilityZone

/**
 * One availability zone of the deployment.
 *
 * @property takenOut whether operators have taken the zone out of service, so that it gets no new requests
 * @property reclaimablePricePerHour price of a reclaimable instance, in the deployment's currency
 * @property onDemandPricePerHour price of an on-demand instance, in the deployment's currency
 */
@Serializable
public data class AvailabilityZoneSection(
    public val name: AvailabilityZone,
    public val region: String,
    public val takenOut: Boolean = false,
    public val reclaimablePricePerHour: Double = 1.0,
    public val onDemandPricePerHour: Double = 3.0,
)
