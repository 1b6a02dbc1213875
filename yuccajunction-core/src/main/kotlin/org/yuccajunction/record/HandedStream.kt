package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * One open stream of a model's answer in a [HandOver].
 *
 * @property body chat completion request of the caller, as JSON text
 * @property tokens texts of all tokens generated after [baseText], whether the caller acknowledged them or not
 * @property baseText answer text that the caller already had from an earlier entry
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
