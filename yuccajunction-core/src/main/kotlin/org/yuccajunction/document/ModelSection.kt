package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * One model that callers may address.
 *
 * @property version the version that serves all traffic while no move is under way
 * @property replicas how many backend servers the deployment plans for
 * @property requestLimit requests that one warm backend server bears at once
 * @property coldRequestLimit requests that one backend server in cold start bears at once
 * @property firstTokenTargetMillis time to the first token that 95 in 100 requests must meet
 * @property betweenTokensTargetMillis time between tokens that 95 in 100 must meet
 * @property fencing whether the backend servers refuse an order that carries an old fencing number
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
