package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * One open stream of a model, handed on.
 *
 * @property body the caller's chat completion request as JSON text
 * @property tokens every token generated since [baseText], acknowledged by the caller or not
 * @property baseText text that the caller brought along from an earlier entry
 * @property baseTokens number of tokens in [baseText]
 */
@Serializable
public data class HandedStream(
    public val requestId: RequestId,
    public val workspace: WorkspaceId,
    public val requestClass: RequestClass,
    public val service: ServiceName,
    public val body: String,
    public val tokens: List<String>,
    public val baseText: String = "",
    public val baseTokens: Int = 0,
)
