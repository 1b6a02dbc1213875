package org.yuccajunction.quota

import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Keeps each workspace within its allowance over all entries together.
 *
 * Entries tell each other how much they have admitted. Between two messages of a peer, its former rate is taken to go
 * on. A request is admitted while the estimated allowance of all entries is not used up; when little is left, this
 * entry also keeps to its own part, weighted by demand. Confined to the traffic thread.
 *
 * @property startedAtMillis Unix time in milliseconds of this entry's start; all that was admitted by entries that
 *   started no earlier counts here, of others only what they admit from now on
 */
public class WorkspaceQuotas(private val startedAtMillis: Long = 0) {
    private val quotas = HashMap<WorkspaceId, WorkspaceQuota>()
    private var entries = 1

    /** Takes [charge] out of the allowance of [policy]; returns false where it is used up. */
    public fun tryConsume(policy: WorkspacePolicy, charge: Double, now: MonotonicTime): Boolean {
        if (policy.ratePerSecond <= 0.0) return true
        return quota(policy, now).tryConsume(policy, charge, entries, now)
    }

    /** Gives back what was taken for a request that did not run. */
    public fun refund(policy: WorkspacePolicy, charge: Double) {
        quotas[policy.id]?.refund(charge)
    }

    /** Returns what this entry has admitted so far, by workspace. */
    public fun admittedByWorkspace(): Map<WorkspaceId, Double> = quotas.mapValues { it.value.admitted }

    /** The entry [peer] told in the run [incarnation] that it has admitted [admitted] so far. */
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

    /** The entries with the names [live] are known to live, this one included; what others spent is soon forgotten. */
    public fun updateLiveEntries(live: Set<String>, now: MonotonicTime) {
        entries = maxOf(1, live.size)
        quotas.values.forEach { it.removeExpiredPeers(live, now) }
    }

    private fun quota(policy: WorkspacePolicy, now: MonotonicTime): WorkspaceQuota =
        quotas.getOrPut(policy.id) { WorkspaceQuota(now) }

    private companion object {
        /** How far the clocks of two machines may be apart. */
        const val CLOCK_TOLERANCE_MILLIS = 2_000L
    }
}

/** The allowance of one workspace as this entry estimates it. */
private class WorkspaceQuota(private var refilledAt: MonotonicTime) {
    private var level: Double? = null

    /** What peers told before the level was first worked out. */
    private var peerUsageBeforeLevel = 0.0
    private var ownLevel = 0.0
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

    /** Returns what is left, with what peers are taken to have spent since they told. */
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

    private fun ownFraction(entries: Int, now: MonotonicTime): Double {
        val own = ownDemand / DEMAND_WINDOW_SECONDS + 1.0
        val all = own + peers.values.sumOf { it.rate(now) + 1.0 }
        return maxOf(own / all, MIN_OWN_FRACTION / entries)
    }

    private companion object {
        const val SCARCE_FRACTION = 0.4
        const val INITIAL_FRACTION = 0.4
        const val DEMAND_WINDOW_SECONDS = 2.0
        const val MIN_OWN_FRACTION = 0.3
    }
}

/** What one peer has told of its spending, and what it is taken to have spent since. */
private class PeerUsageEstimate(
    private var incarnation: Long,
    private var reportedTotal: Double,
    private var reportedAt: MonotonicTime,
) {
    private var ratePerSecond = 0.0
    private var extrapolated = 0.0
    private var extrapolatedUntil = reportedAt

    /** Returns what the peer spent since it last told, beyond what was assumed. */
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

    /** Takes the peer's rate to have gone on until [now]; returns what that adds to its spending. */
    fun extrapolate(now: MonotonicTime): Double {
        val until = minOf(now, reportedAt + EXTRAPOLATION_LIMIT)
        if (until <= extrapolatedUntil) return 0.0
        val added = (until - extrapolatedUntil).toDouble(DurationUnit.SECONDS) * ratePerSecond
        extrapolatedUntil = until
        extrapolated += added
        return added
    }

    /** Whether the peer has told nothing for longer than its spending can matter, if it is not known to live. */
    fun isExpired(now: MonotonicTime): Boolean = now - reportedAt > RETENTION

    fun rate(now: MonotonicTime): Double = if (now - reportedAt > EXTRAPOLATION_LIMIT) 0.0 else ratePerSecond

    private companion object {
        const val SMOOTHING_FACTOR = 0.6
        val EXTRAPOLATION_LIMIT = 3.seconds
        val RETENTION = 8.seconds
    }
}
