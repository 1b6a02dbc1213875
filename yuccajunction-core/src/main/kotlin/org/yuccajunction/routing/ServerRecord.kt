package org.yuccajunction.routing

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import kotlin.time.Duration.Companion.seconds

/**
 * The control state that one entry keeps of one backend server.
 *
 * @property limits concurrent requests that the server takes from all entries together
 * @property share this entry's share of [limits], from which [usablePermits] follows
 * @property usablePermits the part of [limits] that this entry may use now
 * @property usesSpareCapacity whether this entry has no share of any server of the service and may use spare capacity
 * here
 * @property adaptiveLimit reduces [usablePermits] while too many attempts miss the latency target
 * @property drainingSignals announcements that the server is about to be removed
 * @property evidence observations since [stateSince]
 * @property reportedAt when this entry received [report], by its own clock
 * @property nextPollAt when this entry next polls the server's load
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
    /** The address at which the server takes requests. */
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
     * Returns the permits during cold start, less the requests that the server reports.
     *
     * The reported requests may be other entries', sent before the server turned cold or before this entry got the cold
     * share. Until [FOREIGN_REQUEST_LIFETIME] has passed, this entry's own requests are counted twice rather than other
     * entries' requests not at all.
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

        /** Time for which requests that other entries sent earlier may still be open. */
        val FOREIGN_REQUEST_LIFETIME = 10.seconds
    }
}
