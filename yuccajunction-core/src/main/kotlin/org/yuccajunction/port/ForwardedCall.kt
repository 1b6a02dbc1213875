package org.yuccajunction.port

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Header
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * A call to an application that an entry forwards to the home of the request.
 *
 * @property target path and query as sent to the application
 * @property deadlineMillis time limit that the caller set, in milliseconds; null when the caller set none
 */
@Serializable
public class ForwardedCall(
    public val requestId: RequestId,
    public val workspace: WorkspaceId,
    public val service: ServiceName,
    public val method: String,
    public val target: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val deadlineMillis: Long? = null,
)
