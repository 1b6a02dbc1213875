package org.yuccajunction.gateway

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint

/**
 * Holds the settings of one gateway process.
 *
 * @property name name of the instance, which is also the entry's name among its peers
 * @property availabilityZone availability zone that the instance is in
 * @property callerEndpoint listens for callers' requests
 * @property readinessEndpoint listens for readiness checks
 * @property addressEndpoint listens for callers that ask for the addresses of entries
 * @property peerEndpoint listens for peers' heartbeats, as UDP datagrams, and for requests that they forward, by TCP
 * @property metricsEndpoint listens for requests for the metrics
 * @property storeEndpoint address of the platform's object API
 * @property dutyEndpoint address of the platform's API for usage reports and capacity orders, null where there is none
 * @property bounds limits that hold for all entries together
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
