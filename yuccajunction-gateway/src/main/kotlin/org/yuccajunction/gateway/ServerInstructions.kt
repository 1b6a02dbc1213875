package org.yuccajunction.gateway

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.WorkspaceId
import kotlin.time.Duration

/**
 * What an entry tells a backend server with a request.
 *
 * @property server the server that is meant; another one must not run the request
 * @property timeLeft time until nobody waits for the answer any more
 * @property rank urgency; 0 is the most urgent
 * @property lastEventId the event after which a stream goes on, null where the caller's own holds
 */
public class ServerInstructions(
    public val server: BackendServerId,
    public val timeLeft: Duration,
    public val workspace: WorkspaceId?,
    public val rank: Int,
    public val lastEventId: String?,
)
