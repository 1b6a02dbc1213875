package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * A call to an application, as input of [CallMachine].
 *
 * @property route method and path prefix of the call rule that matches
 * @property idempotent whether the call may be retried after an attempt of unknown outcome
 * @property deadline time after which the caller no longer waits, null where the caller gave none
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
