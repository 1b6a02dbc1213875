package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * One plain application that the system routes to.
 *
 * @property latencyTargetMillis time to the answer that 95 in 100 calls must meet
 * @property calls rules for its calls, the first that matches applies; a call that none matches is not idempotent
 * @property statusPath path that tells the outcome of a call by its request id, null where there is none
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
