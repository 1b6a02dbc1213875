package org.yuccajunction.routing

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId

/**
 * The measurements of one ended attempt, which traffic threads post to the control thread.
 *
 * @property route method and path prefix of an application call, or the path of a model call
 * @property firstTokenMillis time from dispatch to the first token, or to the head of an application's response; null
 * where neither arrived
 * @property millisPerToken mean time between tokens in milliseconds, null for fewer than two tokens
 * @property tokens tokens received in the attempt
 * @property recomputedTokens estimated tokens that the server must process again after an earlier attempt
 * @property openAtDispatch requests that this entry had open at the server when it sent the attempt
 */
public data class AttemptObservation(
    public val service: ServiceName,
    public val version: ServiceVersion,
    public val server: BackendServerId,
    public val workspace: WorkspaceId,
    public val requestClass: RequestClass,
    public val route: String,
    public val result: AttemptResult,
    public val firstTokenMillis: Long? = null,
    public val millisPerToken: Double? = null,
    public val tokens: Int = 0,
    public val recomputedTokens: Int = 0,
    public val openAtDispatch: Int = 0,
)
