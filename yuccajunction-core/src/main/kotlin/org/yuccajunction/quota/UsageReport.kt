package org.yuccajunction.quota

import kotlinx.serialization.Serializable

/**
 * What an entry reports of the usage of quotas, beside what it has admitted itself.
 *
 * @property requested quota units that were asked of this incarnation so far, admitted or not, by workspace
 * @property relayed counts of other entries that changed lately
 */
@Serializable
public data class UsageReport(
    public val requested: Map<String, Double> = emptyMap(),
    public val relayed: List<RelayedUsage> = emptyList(),
)
