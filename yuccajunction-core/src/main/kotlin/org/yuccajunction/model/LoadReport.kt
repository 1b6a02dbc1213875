package org.yuccajunction.model

import kotlinx.serialization.Serializable

/**
 * What a backend server last said of its own load.
 *
 * @property incarnation changes whenever the server's process starts anew
 * @property running requests in service
 * @property waiting requests queued inside the server
 * @property cacheUsage share of the KV cache in use, from 0 to 1
 * @property cold whether the server says that it is in cold start
 */
@Serializable
public data class LoadReport(
    public val incarnation: String,
    public val running: Int = 0,
    public val waiting: Int = 0,
    public val cacheUsage: Double = 0.0,
    public val cold: Boolean = false,
)
