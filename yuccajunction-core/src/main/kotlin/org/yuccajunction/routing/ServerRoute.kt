package org.yuccajunction.routing

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.ServiceVersion

/**
 * One backend server as this entry may use it.
 *
 * @property permits requests that this entry may have open there at once: its share of the server's limit
 * @property limit requests that the server bears at once from all entries together
 * @property report the server's last load report, null before the first
 * @property reportAgeMillis age of [report] when the table was made
 * @property meanFirstTokenMillis recent mean time to the first token there, null where none is known
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
