package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * A request for a model's answer, as input of [StreamMachine].
 *
 * @property prefixKey hash of the prompt prefix
 * @property promptTokens estimated length of the prompt in tokens
 * @property generatedTokens number of tokens of the answer that the caller or a former entry already has
 * @property deadline time after which the caller no longer waits, null where the caller gave none
 * @property tokenLimit number of tokens after which the answer ends
 */
public data class StreamRequest(
    public val requestId: RequestId,
    public val workspace: WorkspaceId,
    public val requestClass: RequestClass,
    public val service: ServiceName,
    public val route: String,
    public val prefixKey: Long,
    public val promptTokens: Int,
    public val generatedTokens: Int = 0,
    public val deadline: MonotonicTime? = null,
    public val tokenLimit: Int = Int.MAX_VALUE,
)
