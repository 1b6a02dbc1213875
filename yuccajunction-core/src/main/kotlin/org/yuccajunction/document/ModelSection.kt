package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * One model that callers may address.
 *
 * @property version the version that serves all traffic while no move is in progress
 * @property replicas number of backend servers that the deployment plans for
 * @property requestLimit largest number of concurrent requests at one warm backend server
 * @property coldRequestLimit largest number of concurrent requests at one backend server in cold start
 * @property firstTokenTargetMillis target of the 95th percentile of the time to the first token, in milliseconds
 * @property betweenTokensTargetMillis target of the 95th percentile of the time between tokens, in milliseconds
 * @property fencing whether the backend servers reject an order with an outdated fencing number
 */
@Serializable
public data class ModelSection(
    public val name: ServiceName,
    public val version: ServiceVersion,
    public val replicas: Int,
    public val requestLimit: Int,
    public val coldRequestLimit: Int = 1,
    public val firstTokenTargetMillis: Long = 630,
    public val betweenTokensTargetMillis: Long = 38,
    public val fencing: Boolean = false,
)
