package org.yuccajunction.shortage

import kotlinx.serialization.Serializable

/**
 * What one entry reports to its peers of the demand for one service, in slot milliseconds per second.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property service name of the service
 * @property offered work of all requests in the last 0.3 s, rejected ones included
 * @property completed work of the requests that have ended
 * @property requests requests per second in tenths, to derive the mean work of a request
 * @property occupancy how full the servers are, as the entry knows from their load reports
 * @property rows the work by workspace and rank; the workspaces with the least work may be missing
 */
@Serializable
public data class DemandReport(
    public val service: String,
    public val offered: Int = 0,
    public val completed: Int = 0,
    public val requests: Int = 0,
    public val occupancy: OccupancyReport = OccupancyReport(),
    public val rows: List<DemandRow> = emptyList(),
)
