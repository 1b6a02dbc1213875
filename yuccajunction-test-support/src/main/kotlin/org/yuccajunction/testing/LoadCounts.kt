package org.yuccajunction.testing

import kotlinx.serialization.Serializable

/**
 * Request counts of a stand-in for a backend server.
 *
 * @property open number of open requests
 * @property highestOpen highest number of requests that were open at once
 * @property highestOpenCold highest number of requests that were open at once during the cold start
 * @property fellOver number of requests that arrived above the limit of the cold start
 */
@Serializable
public data class LoadCounts(
    public val open: Int,
    public val highestOpen: Int,
    public val highestOpenCold: Int,
    public val fellOver: Int,
)
