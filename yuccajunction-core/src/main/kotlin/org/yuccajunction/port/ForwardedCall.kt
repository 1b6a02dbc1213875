package org.yuccajunction.port

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Header
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * A call to an application that is handed to the home of its request.
 *
 * @property target path and query as the application gets them
 * @property deadlineMillis time that the caller gives the request, in milliseconds, null where it did not say
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
