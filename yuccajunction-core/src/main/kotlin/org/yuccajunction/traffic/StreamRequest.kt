package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * One request for a model's answer, as its machine sees it.
 *
 * @property prefixKey hash of the prompt's start
 * @property promptTokens estimated length of the prompt
 * @property generatedTokens tokens that the caller or a former entry holds already
 * @property deadline when the caller no longer wants the answer, null where it did not say
 * @property tokenLimit length at which the answer is ended
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
