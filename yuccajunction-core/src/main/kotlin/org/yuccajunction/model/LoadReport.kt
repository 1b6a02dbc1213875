package org.yuccajunction.model

import kotlinx.serialization.Serializable

/**
 * The load of a backend server as last reported by the server.
 *
 * @property incarnation identifies the process lifetime of the server; changes with each restart
 * @property running number of requests in execution
 * @property waiting number of requests queued inside the server
 * @property cacheUsage fraction of the KV cache in use, from 0 to 1
 * @property cold whether the server reports a cold start in progress
 */
@Serializable
public data class LoadReport(
    public val incarnation: String,
    public val running: Int = 0,
    public val waiting: Int = 0,
    public val cacheUsage: Double = 0.0,
    public val cold: Boolean = false,
)
