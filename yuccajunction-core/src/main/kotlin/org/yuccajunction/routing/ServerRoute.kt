package org.yuccajunction.routing

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.ServiceVersion

/**
 * One backend server with the permits that this entry may use.
 *
 * @property permits concurrent requests that this entry may have open at the server: its share of the server's limit
 * @property limit concurrent requests that the server takes from all entries together
 * @property report the server's last load report, null before the first
 * @property reportAgeMillis age of [report] when the routing table was built
 * @property meanFirstTokenMillis moving average of the time to the server's first token, null where none is known
 */
public data class ServerRoute(
    public val id: BackendServerId,
    public val endpoint: Endpoint,
    public val availabilityZone: AvailabilityZone,
    public val version: ServiceVersion,
    public val state: ServerState,
    public val permits: Int,
    public val limit: Int,
    public val report: LoadReport? = null,
    public val reportAgeMillis: Long = 0,
    public val pricePerHour: Double = 1.0,
    public val meanFirstTokenMillis: Double? = null,
)
