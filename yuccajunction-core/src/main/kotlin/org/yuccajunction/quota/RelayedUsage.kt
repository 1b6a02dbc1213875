package org.yuccajunction.quota

import kotlinx.serialization.Serializable

/**
 * Cumulative counts of one entry, which another entry passes on.
 *
 * @property name name of the entry that counted
 * @property incarnation Unix time of that entry's start in milliseconds
 * @property sequence number of the heartbeat in which the entry reported the counts
 * @property admitted quota units that the entry has admitted so far, by workspace
 * @property requested quota units that were asked of the entry so far, admitted or not, by workspace
 */
@Serializable
public data class RelayedUsage(
    public val name: String,
    public val incarnation: Long,
    public val sequence: Long,
    public val admitted: Map<String, Double>,
    public val requested: Map<String, Double>,
)
