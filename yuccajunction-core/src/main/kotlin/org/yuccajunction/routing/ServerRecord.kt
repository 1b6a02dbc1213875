package org.yuccajunction.routing

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance

/**
 * What the control state of one entry holds of one backend server.
 *
 * @property limits what the server bears from all entries together
 * @property usable the part of [limits] that this entry may use now
 * @property share how [usable] comes about
 * @property reportedAt when [report] came, by this entry's clock
 * @property pollAt when the server is next asked for its load
 * @property unansweredPolls polls without an answer since the last report
 */
public data class ServerRecord(
    public val instance: PlatformInstance,
    public val state: ServerState,
    public val stateSince: MonotonicTime,
    public val limits: ServerLimits = ServerLimits(warm = 0, cold = 0),
    public val share: ServerShare = ServerShare(targetSince = stateSince),
    public val usable: ServerShare.Permits = ServerShare.Permits.NONE,
    public val report: LoadReport? = null,
    public val reportedAt: MonotonicTime? = null,
    public val pollAt: MonotonicTime = stateSince,
    public val unansweredPolls: Int = 0,
) {
    /** Where the server takes calls. */
    public val endpoint: Endpoint get() = instance.endpoint

    /** Requests that this entry may have open at the server in [state]. */
    public fun permits(state: ServerState = this.state): Int =
        when (state) {
            ServerState.READY -> usable.warm
            ServerState.COLD -> usable.cold
            ServerState.SUSPECT -> minOf(1, usable.warm)
            ServerState.LEAVING -> 0
        }
}
