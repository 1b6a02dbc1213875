package org.yuccajunction.routing

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId

/**
 * What one ended attempt showed; traffic threads post it to the control thread.
 *
 * @property firstTokenMillis time from dispatch to the first token or to the answer's head, null where none came
 * @property millisPerToken mean time between tokens, null for fewer than two
 * @property openAtDispatch requests that this entry had open at the server when the attempt left
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
