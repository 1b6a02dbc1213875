package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** One row of the platform's instance list, which lags behind the actual state. */
@Serializable
public data class PlatformInstance(
    public val id: InstanceId,
    public val role: InstanceRole,
    public val availabilityZone: AvailabilityZone,
    public val endpoint: Endpoint,
    public val leaving: Boolean = false,
    public val peerEndpoint: Endpoint? = null,
    public val service: ServiceName? = null,
    public val version: ServiceVersion? = null,
    public val reclaimable: Boolean = true,
)
