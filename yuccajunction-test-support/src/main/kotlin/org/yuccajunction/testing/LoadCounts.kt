package org.yuccajunction.testing

import kotlinx.serialization.Serializable

/**
 * What a stand-in for a backend server counts of its load.
 *
 * @property open requests open now
 * @property highestOpen the most requests that were open at once
 * @property highestOpenCold the most requests that were open at once while the server was cold
 * @property fellOver how often the server was given more than it bears while cold
 */
@Serializable
public data class LoadCounts(
    public val open: Int,
    public val highestOpen: Int,
    public val highestOpenCold: Int,
    public val fellOver: Int,
)
