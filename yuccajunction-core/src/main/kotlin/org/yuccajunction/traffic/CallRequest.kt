package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * One call to an application, as its machine sees it.
 *
 * @property route method and path prefix of the rule that covers the call
 * @property idempotent whether the call may be run again after an unclear ending
 * @property deadline when the caller no longer wants the answer, null where it did not say
 */
public data class CallRequest(
    public val requestId: RequestId,
    public val workspace: WorkspaceId,
    public val requestClass: RequestClass,
    public val service: ServiceName,
    public val route: String,
    public val idempotent: Boolean,
    public val deadline: MonotonicTime? = null,
)
