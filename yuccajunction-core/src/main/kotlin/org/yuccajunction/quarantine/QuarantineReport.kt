package org.yuccajunction.quarantine

import kotlinx.serialization.Serializable

/**
 * What an entry reports to its peers of prompt parts that may end backend servers.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property ends ends of servers that the entry has observed lately
 * @property progress suspected parts of requests that servers have answered nevertheless
 * @property quarantined parts that no entry may send
 */
@Serializable
public data class QuarantineReport(
    public val ends: List<ServerEndReport> = emptyList(),
    public val progress: List<PartReport> = emptyList(),
    public val quarantined: List<PartReport> = emptyList(),
)
