package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/** Describes a request whose routing decision the entry should explain. */
@Serializable
public data class ExplainMessage(
    public val service: ServiceName,
    public val workspace: WorkspaceId,
    public val requestClass: RequestClass = RequestClass.ORDER,
    public val route: String = "/",
    public val promptTokens: Int = 0,
)
