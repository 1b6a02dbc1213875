package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * One application (a plain HTTP service) that callers may address.
 *
 * @property version the version that serves all traffic while no move is in progress
 * @property replicas number of backend servers that the deployment plans for
 * @property requestLimit largest number of concurrent requests at one warm backend server
 * @property coldRequestLimit largest number of concurrent requests at one backend server in cold start
 * @property latencyTargetMillis target of the 95th percentile of the time to the whole answer, in milliseconds
 * @property calls rules for calls, of which the first match applies; a call without a match is not idempotent
 * @property statusPath path that returns the outcome of a call by its request id; null when the application has none
 * @property fencing whether the backend servers reject an order with an outdated fencing number
 */
@Serializable
public data class ApplicationSection(
    public val name: ServiceName,
    public val version: ServiceVersion,
    public val replicas: Int,
    public val requestLimit: Int,
    public val coldRequestLimit: Int = 1,
    public val latencyTargetMillis: Long = 500,
    public val calls: List<CallRule> = emptyList(),
    public val statusPath: String? = null,
    public val fencing: Boolean = false,
)
