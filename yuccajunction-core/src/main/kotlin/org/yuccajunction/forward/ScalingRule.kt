package org.yuccajunction.forward

import kotlinx.collections.immutable.PersistentMap
import org.yuccajunction.model.AvailabilityZone
import kotlin.time.Duration

/**
 * Bounds and prices for the number of a service's backend servers.
 *
 * @property minimum fewest servers in an availability zone, reclaimable or not
 * @property maximum most servers in an availability zone, reclaimable or not
 * @property startupDuration time from an order of a server until the server takes requests
 * @property reclaimablePriceFraction price of a reclaimable server as a fraction of the price of another server
 * @property pricesByAvailabilityZone price per server and second in each availability zone where servers can be
 *   ordered
 */
public data class ScalingRule(
    public val minimum: Int,
    public val maximum: Int,
    public val startupDuration: Duration,
    public val reclaimablePriceFraction: Double,
    public val pricesByAvailabilityZone: PersistentMap<AvailabilityZone, Double>,
)
