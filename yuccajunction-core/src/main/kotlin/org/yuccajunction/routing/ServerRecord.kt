package org.yuccajunction.routing

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance

/**
 * What the control state of one entry holds of one backend server.
 *
 * @property reportedAt when [report] came, by this entry's clock
 */
public data class ServerRecord(
    public val instance: PlatformInstance,
    public val state: ServerState,
    public val stateSince: MonotonicTime,
    public val report: LoadReport? = null,
    public val reportedAt: MonotonicTime? = null,
) {
    /** Where the server takes calls. */
    public val endpoint: Endpoint get() = instance.endpoint
}
