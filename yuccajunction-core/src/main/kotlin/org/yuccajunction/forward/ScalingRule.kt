package org.yuccajunction.forward

import kotlinx.collections.immutable.PersistentMap
import org.yuccajunction.model.AvailabilityZone
import kotlin.time.Duration

/**
 * Between which bounds the number of a service's backend servers may be ordered.
 *
 * @property minimum fewest servers in an availability zone, of both kinds together
 * @property maximum most servers in an availability zone, of both kinds together
 * @property startupDuration time from an order until the server serves
 * @property reclaimablePriceFraction price of a reclaimable server as a share of the price of another one
 * @property pricesByAvailabilityZone price of a server for a second in each availability zone where it can be ordered
 */
public data class ScalingRule(
    public val minimum: Int,
    public val maximum: Int,
    public val startupDuration: Duration,
    public val reclaimablePriceFraction: Double,
    public val pricesByAvailabilityZone: PersistentMap<AvailabilityZone, Double>,
)
