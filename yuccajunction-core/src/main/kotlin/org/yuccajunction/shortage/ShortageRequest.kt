package org.yuccajunction.shortage

import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import kotlin.time.Duration

/**
 * What admission under shortage needs to know of one request.
 *
 * @property workspace workspace of the request, null if it has none
 * @property rank urgency; 0 is the most urgent
 * @property work milliseconds for which the request is expected to occupy a slot of a server
 * @property identityHash hash of the caller's identifier of this try
 * @property latencyTarget time within which the first event or the answer should arrive
 * @property remaining time until the caller's deadline
 */
public data class ShortageRequest(
    public val service: ServiceName,
    public val workspace: WorkspaceId?,
    public val rank: Int,
    public val work: Double,
    public val identityHash: Long,
    public val latencyTarget: Duration,
    public val remaining: Duration,
)
