package org.yuccajunction.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * The request properties that the choice of a backend server depends on, for one attempt.
 *
 * @property route method and path prefix of the call, or the model call's path
 * @property prefixKey hash of the prompt prefix, equal for prompts that share a cached prefix; null for applications
 * @property promptTokens estimated length of the prompt in tokens, including generated tokens that a resumed stream
 * recomputes
 * @property failedServers servers at which an attempt of this request already failed
 * @property lastFailureZone availability zone of the last failed attempt; its servers are tried last
 */
public data class RoutingQuery(
    public val service: ServiceName,
    public val workspace: WorkspaceId,
    public val requestClass: RequestClass,
    public val route: String,
    public val prefixKey: Long? = null,
    public val promptTokens: Int = 0,
    public val failedServers: PersistentSet<BackendServerId> = persistentSetOf(),
    public val lastFailureZone: AvailabilityZone? = null,
)
