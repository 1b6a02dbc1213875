package org.yuccajunction.gateway

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint

/**
 * The settings of one gateway process.
 *
 * @property name name of its instance
 * @property callerEndpoint where it takes callers' requests
 * @property readinessEndpoint where it tells whether it is ready
 * @property addressEndpoint where it tells callers which entries to use
 * @property peerEndpoint where it takes beats of other entries, as datagrams
 * @property metricsEndpoint where it shows its metrics
 * @property storeEndpoint the platform's object API
 * @property dutyEndpoint the platform's API for usage and capacity, null where there is none
 * @property bounds bounds that hold over all entries
 */
public data class GatewaySettings(
    public val name: String,
    public val availabilityZone: AvailabilityZone,
    public val callerEndpoint: Endpoint,
    public val readinessEndpoint: Endpoint,
    public val addressEndpoint: Endpoint,
    public val peerEndpoint: Endpoint,
    public val metricsEndpoint: Endpoint,
    public val storeEndpoint: Endpoint,
    public val dutyEndpoint: Endpoint? = null,
    public val bounds: GatewayBounds = GatewayBounds(),
)
