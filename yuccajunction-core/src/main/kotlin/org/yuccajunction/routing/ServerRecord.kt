package org.yuccajunction.routing

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import kotlin.time.Duration.Companion.seconds

/**
 * What the control state of one entry holds of one backend server.
 *
 * @property limits what the server bears from all entries together
 * @property usable the part of [limits] that this entry may use now
 * @property share how [usable] comes about
 * @property borrowed whether this entry holds no share of the service and may use spare room here
 * @property limit how much of [usable] the measured service allows
 * @property signs announcements that the server is about to go
 * @property evidence what was seen since [stateSince]
 * @property reportedAt when [report] came, by this entry's clock
 * @property pollAt when the server is next asked for its load
 */
public data class ServerRecord(
    public val instance: PlatformInstance,
    public val state: ServerState,
    public val stateSince: MonotonicTime,
    public val limits: ServerLimits = ServerLimits(warm = 0, cold = 0),
    public val share: ServerShare = ServerShare(targetSince = stateSince),
    public val usable: ServerShare.Permits = ServerShare.Permits.NONE,
    public val borrowed: Boolean = false,
    public val limit: AdaptiveLimit = AdaptiveLimit(windowSince = stateSince),
    public val signs: LeavingSigns = LeavingSigns(),
    public val evidence: ServerEvidence = ServerEvidence(),
    public val report: LoadReport? = null,
    public val reportedAt: MonotonicTime? = null,
    public val pollAt: MonotonicTime = stateSince,
) {
    /** Where the server takes calls. */
    public val endpoint: Endpoint get() = instance.endpoint

    /** Returns how many requests this entry may have open at the server at [now]. */
    public fun permits(now: MonotonicTime): Int =
        when (state) {
            ServerState.READY -> if (borrowed) borrowedPermits(now) else limit.permits(usable.warm)
            ServerState.COLD -> coldPermits(now)
            ServerState.SUSPECT -> minOf(1, usable.cold)
            ServerState.LEAVING -> 0
        }

    /**
     * Leaves room for what the server reports, which may be other entries' requests from before it turned cold or
     * before this entry took it over. Early on this entry's own ones count twice rather than others' not at all.
     */
    private fun coldPermits(now: MonotonicTime): Int {
        val reported = freshLoad(now) ?: return 0
        val settledAt = maxOf(stateSince, share.targetSince) + FOREIGN_REQUESTS
        if (now < settledAt) return maxOf(0, usable.cold - reported)
        return if (reported < limits.cold) usable.cold else 0
    }

    private fun borrowedPermits(now: MonotonicTime): Int {
        val reported = freshLoad(now) ?: return 0
        return if (reported * 2 < limits.warm) minOf(1, usable.warm) else 0
    }

    private fun freshLoad(now: MonotonicTime): Int? {
        if (reportedAt == null || now - reportedAt > FRESH_REPORT) return null
        return report?.let { it.running + it.waiting }
    }

    private companion object {
        val FRESH_REPORT = 3.seconds

        /** Time for which requests that other entries sent before may still be open. */
        val FOREIGN_REQUESTS = 10.seconds
    }
}
