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
 * @property usablePermits the part of [limits] that this entry may use now
 * @property share how [usablePermits] comes about
 * @property usesSpareCapacity whether this entry holds no share of the service and may use spare room here
 * @property adaptiveLimit how much of [usablePermits] the measured service allows
 * @property drainingSignals announcements that the server is about to go
 * @property evidence what was seen since [stateSince]
 * @property reportedAt when [report] came, by this entry's clock
 * @property nextPollAt when the server is next asked for its load
 */
public data class ServerRecord(
    public val instance: PlatformInstance,
    public val state: ServerState,
    public val stateSince: MonotonicTime,
    public val limits: ServerLimits = ServerLimits(warm = 0, cold = 0),
    public val share: ServerShare = ServerShare(targetSince = stateSince),
    public val usablePermits: ServerShare.Permits = ServerShare.Permits.NONE,
    public val usesSpareCapacity: Boolean = false,
    public val adaptiveLimit: AdaptiveLimit = AdaptiveLimit(windowSince = stateSince),
    public val drainingSignals: DrainingSignals = DrainingSignals(),
    public val evidence: ServerEvidence = ServerEvidence(),
    public val report: LoadReport? = null,
    public val reportedAt: MonotonicTime? = null,
    public val nextPollAt: MonotonicTime = stateSince,
) {
    /** Where the server takes calls. */
    public val endpoint: Endpoint get() = instance.endpoint

    /** Returns how many requests this entry may have open at the server at [now]. */
    public fun permits(now: MonotonicTime): Int =
        when (state) {
            ServerState.READY -> if (usesSpareCapacity) sparePermits(now) else adaptiveLimit.permits(usablePermits.warm)
            ServerState.COLD -> coldPermits(now)
            ServerState.SUSPECT -> minOf(1, usablePermits.cold)
            ServerState.LEAVING -> 0
        }

    /**
     * Leaves room for what the server reports, which may be other entries' requests from before it turned cold or
     * before this entry took it over. Early on this entry's own ones count twice rather than others' not at all.
     */
    private fun coldPermits(now: MonotonicTime): Int {
        val reported = freshReportedRequests(now) ?: return 0
        val settledAt = maxOf(stateSince, share.targetSince) + FOREIGN_REQUEST_LIFETIME
        if (now < settledAt) return maxOf(0, usablePermits.cold - reported)
        return if (reported < limits.cold) usablePermits.cold else 0
    }

    private fun sparePermits(now: MonotonicTime): Int {
        val reported = freshReportedRequests(now) ?: return 0
        return if (reported * 2 < limits.warm) minOf(1, usablePermits.warm) else 0
    }

    private fun freshReportedRequests(now: MonotonicTime): Int? {
        if (reportedAt == null || now - reportedAt > MAX_REPORT_AGE) return null
        return report?.let { it.running + it.waiting }
    }

    private companion object {
        val MAX_REPORT_AGE = 3.seconds

        /** Time for which requests that other entries sent before may still be open. */
        val FOREIGN_REQUEST_LIFETIME = 10.seconds
    }
}
