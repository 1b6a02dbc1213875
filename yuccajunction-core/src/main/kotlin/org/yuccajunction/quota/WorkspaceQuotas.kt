package org.yuccajunction.quota

import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Limits each workspace to its quota over all entries together.
 *
 * The entries report to each other how much they have admitted. Between two reports of a peer, this entry extrapolates
 * the peer's last rate. This entry admits a request while the estimated quota of all entries is not used up; when
 * little remains, the entry also stays within its own part, weighted by demand. Confined to the traffic thread.
 *
 * @property startedAtMillis Unix time in milliseconds of this entry's start. All that a peer has admitted counts if the
 *   peer started no earlier than this entry; of an older peer, only what the peer admits after its first report.
 */
public class WorkspaceQuotas(private val startedAtMillis: Long = 0) {
    private val quotas = HashMap<WorkspaceId, WorkspaceQuota>()
    private var entries = 1

    /** Takes [charge] out of the quota of [policy]; returns false if the quota is used up. */
    public fun tryConsume(policy: WorkspacePolicy, charge: Double, now: MonotonicTime): Boolean {
        if (policy.ratePerSecond <= 0.0) return true
        return quota(policy, now).tryConsume(policy, charge, entries, now)
    }

    /** Returns [charge] to the quota, for a request that was not executed. */
    public fun refund(policy: WorkspacePolicy, charge: Double) {
        quotas[policy.id]?.refund(charge)
    }

    /** Returns the charges that this entry has admitted so far, less those refunded, by workspace. */
    public fun admittedByWorkspace(): Map<WorkspaceId, Double> = quotas.mapValues { it.value.admitted }

    /** Records a report that [peer], in its [incarnation], has [admitted] these charges so far. */
    public fun recordPeerUsage(
        peer: String,
        incarnation: Long,
        admitted: Map<WorkspaceId, Double>,
        now: MonotonicTime,
    ) {
        val startedNoEarlier = incarnation >= startedAtMillis - CLOCK_TOLERANCE_MILLIS
        for ((workspace, amount) in admitted) {
            val quota = quotas.getOrPut(workspace) { WorkspaceQuota(now) }
            quota.recordPeerUsage(peer, incarnation, amount, now, startedNoEarlier)
        }
    }

    /**
     * Sets the names of the entries that are alive to [live], this entry included.
     *
     * The usage of any other entry is forgotten some seconds after the last report.
     */
    public fun updateLiveEntries(live: Set<String>, now: MonotonicTime) {
        entries = maxOf(1, live.size)
        quotas.values.forEach { it.removeExpiredPeers(live, now) }
    }

    private fun quota(policy: WorkspacePolicy, now: MonotonicTime): WorkspaceQuota =
        quotas.getOrPut(policy.id) { WorkspaceQuota(now) }

    private companion object {
        /** Greatest difference between the clocks of two machines that is tolerated. */
        const val CLOCK_TOLERANCE_MILLIS = 2_000L
    }
}

/** This entry's estimate of the quota of one workspace. */
private class WorkspaceQuota(private var refilledAt: MonotonicTime) {
    /** What remains of the quota of all entries together; null before the first request. */
    private var level: Double? = null

    /** Usage that peers reported while [level] was null. */
    private var peerUsageBeforeLevel = 0.0

    /** What remains of this entry's part of the quota. */
    private var ownLevel = 0.0

    /** Charges that were asked of this entry in the last seconds, admitted or not. */
    private var ownDemand = 0.0
    private val peers = HashMap<String, PeerUsageEstimate>()

    var admitted = 0.0
        private set

    fun tryConsume(policy: WorkspacePolicy, charge: Double, entries: Int, now: MonotonicTime): Boolean {
        val remaining = refill(policy, entries, now)
        ownDemand += charge
        val isScarce = remaining < policy.burst * SCARCE_FRACTION
        if (remaining <= 0.0 || isScarce && ownLevel <= 0.0) return false
        level = remaining - charge
        ownLevel -= charge
        admitted += charge
        return true
    }

    fun refund(charge: Double) {
        level = (level ?: 0.0) + charge
        ownLevel += charge
        admitted -= charge
    }

    fun recordPeerUsage(
        peer: String,
        incarnation: Long,
        amount: Double,
        now: MonotonicTime,
        startedNoEarlier: Boolean,
    ) {
        val counted = if (startedNoEarlier) 0.0 else amount
        val used =
            peers
                .getOrPut(peer) { PeerUsageEstimate(incarnation, counted, now) }
                .recordReport(incarnation, amount, now)
        if (level == null) peerUsageBeforeLevel += used else level = level?.minus(used)
    }

    fun removeExpiredPeers(live: Set<String>, now: MonotonicTime) {
        peers.entries.removeIf { (name, usage) -> name !in live && usage.isExpired(now) }
    }

    /** Returns what remains of the quota, less the estimated usage of peers since their last reports. */
    private fun refill(policy: WorkspacePolicy, entries: Int, now: MonotonicTime): Double {
        val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        refilledAt = now
        val previous = level ?: (policy.burst * INITIAL_FRACTION - peerUsageBeforeLevel)
        val estimated = peers.values.sumOf { it.extrapolate(now) }
        val remaining = minOf(policy.burst, previous + seconds * policy.ratePerSecond - estimated)
        level = remaining
        ownDemand *= maxOf(0.0, 1.0 - seconds / DEMAND_WINDOW_SECONDS)
        val ownFraction = ownFraction(entries, now)
        ownLevel = minOf(policy.burst * ownFraction, ownLevel + seconds * policy.ratePerSecond * ownFraction)
        return remaining
    }

    /** Returns the part of the quota that this entry may use while little remains, by its part of the demand. */
    private fun ownFraction(entries: Int, now: MonotonicTime): Double {
        val own = ownDemand / DEMAND_WINDOW_SECONDS + 1.0
        val all = own + peers.values.sumOf { it.rate(now) + 1.0 }
        return maxOf(own / all, MIN_OWN_FRACTION / entries)
    }

    private companion object {
        /** Level, as a fraction of the burst, below which an entry also stays within its own part. */
        const val SCARCE_FRACTION = 0.4

        /** Level of a new entry as a fraction of the burst. */
        const val INITIAL_FRACTION = 0.4
        const val DEMAND_WINDOW_SECONDS = 2.0

        /** Least part of an entry, as a fraction of an equal part. */
        const val MIN_OWN_FRACTION = 0.3
    }
}

/** What one peer has reported as its usage, and an estimate of its usage since that report. */
private class PeerUsageEstimate(
    private var incarnation: Long,
    private var reportedTotal: Double,
    private var reportedAt: MonotonicTime,
) {
    private var ratePerSecond = 0.0

    /** Estimated usage between the last report and [extrapolatedUntil]. */
    private var extrapolated = 0.0
    private var extrapolatedUntil = reportedAt

    /**
     * Records that the peer has admitted [amount] so far.
     *
     * Returns the usage since the last report less the usage that was estimated for that time.
     */
    fun recordReport(incarnation: Long, amount: Double, now: MonotonicTime): Double {
        if (incarnation < this.incarnation) return 0.0
        val used = if (incarnation == this.incarnation) maxOf(0.0, amount - reportedTotal) else amount
        val seconds = (now - reportedAt).toDouble(DurationUnit.SECONDS)
        if (seconds > 0.0) ratePerSecond += (used / seconds - ratePerSecond) * SMOOTHING_FACTOR
        val beyondEstimate = used - extrapolated
        this.incarnation = incarnation
        reportedTotal = amount
        reportedAt = now
        extrapolated = 0.0
        extrapolatedUntil = now
        return beyondEstimate
    }

    /** Extrapolates the peer's rate until [now]; returns the usage that this adds. */
    fun extrapolate(now: MonotonicTime): Double {
        val until = minOf(now, reportedAt + EXTRAPOLATION_LIMIT)
        if (until <= extrapolatedUntil) return 0.0
        val added = (until - extrapolatedUntil).toDouble(DurationUnit.SECONDS) * ratePerSecond
        extrapolatedUntil = until
        extrapolated += added
        return added
    }

    /** Returns whether the last report is so old that the usage of a peer that is not alive no longer matters. */
    fun isExpired(now: MonotonicTime): Boolean = now - reportedAt > RETENTION

    fun rate(now: MonotonicTime): Double = if (now - reportedAt > EXTRAPOLATION_LIMIT) 0.0 else ratePerSecond

    private companion object {
        const val SMOOTHING_FACTOR = 0.6

        /** Time after the last report for which the rate is extrapolated. */
        val EXTRAPOLATION_LIMIT = 3.seconds

        /** Time after the last report for which the usage of a peer that is not alive is kept. */
        val RETENTION = 8.seconds
    }
}
