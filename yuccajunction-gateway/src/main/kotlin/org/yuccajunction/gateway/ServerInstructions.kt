package org.yuccajunction.gateway

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.WorkspaceId
import kotlin.time.Duration

/**
 * Holds the values that an entry adds to the headers of a request to a backend server.
 *
 * @property server the intended server; another server must not execute the request
 * @property timeLeft time until the caller no longer waits for the answer
 * @property workspace the workspace that the caller's key identifies, null on a public route
 * @property rank urgency; 0 is the most urgent
 * @property lastEventId the event after which a stream resumes, null to leave the caller's own header as it is
 */
public class ServerInstructions(
    public val server: BackendServerId,
    public val timeLeft: Duration,
    public val workspace: WorkspaceId?,
    public val rank: Int,
    public val lastEventId: String?,
)
