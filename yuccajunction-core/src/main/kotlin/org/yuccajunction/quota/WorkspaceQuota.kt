package org.yuccajunction.quota

import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** This entry's estimate of the quota of one workspace. */
internal class WorkspaceQuota(
    private var refilledAt: MonotonicTime,
    private val tolerance: QuotaTolerance,
    private val isFirstSeenAtStart: Boolean,
    private val random: Random,
) {
    /** What remains of the quota of all entries together; null before the first request. */
    var level: Double? = null
        private set

    /** Usage that peers reported while [level] was null. */
    private var peerUsageBeforeLevel = 0.0

    /** What remains of this entry's part of the quota; null before the first request. */
    private var ownLevel: Double? = null

    /** Charges that were asked of this entry in the last seconds, admitted or not. */
    private var ownDemand = 0.0

    /** Charges that this entry admitted in the last seconds. */
    private var ownAdmitted = 0.0
    private var meanCharge = 0.0
    private val peers = HashMap<String, PeerUsageEstimate>()

    var admitted = 0.0
        private set

    fun tryConsume(policy: WorkspacePolicy, charge: Double, sharing: QuotaSharing, now: MonotonicTime): Boolean {
        meanCharge = if (meanCharge == 0.0) charge else meanCharge + (charge - meanCharge) * CHARGE_SMOOTHING_FACTOR
        val remaining = refill(policy, sharing, now)
        val ownRemaining = ownLevel ?: 0.0
        ownDemand += charge
        val isScarce = sharing.isStarting || remaining < scarceLevel(policy, sharing)
        if (remaining <= 0.0 || isScarce && !coversRandomPart(ownRemaining, charge)) return false
        level = remaining - charge
        ownLevel = ownRemaining - charge
        ownAdmitted += charge
        admitted += charge
        return true
    }

    /**
     * Returns whether [ownRemaining] covers a random part of [charge].
     *
     * An entry whose part is smaller than one request so admits its part on average, and not one request in each entry.
     */
    private fun coversRandomPart(ownRemaining: Double, charge: Double): Boolean =
        ownRemaining > random.nextDouble() * charge

    fun refund(charge: Double) {
        level = (level ?: 0.0) + charge
        ownLevel = ownLevel?.plus(charge)
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
    private fun refill(policy: WorkspacePolicy, sharing: QuotaSharing, now: MonotonicTime): Double {
        val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        refilledAt = now
        val capacity = capacity(policy, sharing)
        val previous = level ?: (initialLevel(policy, capacity) - peerUsageBeforeLevel)
        val estimated = peers.values.sumOf { it.extrapolate(now) }
        val remaining = minOf(capacity, previous + seconds * policy.ratePerSecond - estimated)
        level = remaining
        val decay = maxOf(0.0, 1.0 - seconds / DEMAND_WINDOW_SECONDS)
        ownDemand *= decay
        ownAdmitted *= decay
        val ownFraction = ownFraction(policy, sharing, now)
        val ownPrevious = ownLevel ?: initialOwnLevel(policy, sharing)
        ownLevel = minOf(capacity * ownFraction, ownPrevious + seconds * policy.ratePerSecond * ownFraction)
        return remaining
    }

    /**
     * Returns the most that may remain: the burst and the tolerance but for a reserve.
     *
     * The reserve is what a workspace with many times its usual load may use before all entries have heard of it.
     */
    private fun capacity(policy: WorkspacePolicy, sharing: QuotaSharing): Double {
        val reserve = policy.ratePerSecond * sharing.reportDelaySeconds + meanCharge * RESERVED_REQUESTS
        return policy.burst + maxOf(0.0, tolerance.of(policy) - reserve)
    }

    /** Returns the level before the first request; the usage before the start of this entry is not known. */
    private fun initialLevel(policy: WorkspacePolicy, capacity: Double): Double =
        if (isFirstSeenAtStart) tolerance.of(policy) * INITIAL_TOLERANCE_FRACTION else capacity

    private fun initialOwnLevel(policy: WorkspacePolicy, sharing: QuotaSharing): Double =
        if (sharing.isStarting) tolerance.of(policy) * STARTING_TOLERANCE_FRACTION / sharing.entries else 0.0

    /** Returns the level below which this entry also stays within its own part. */
    private fun scarceLevel(policy: WorkspacePolicy, sharing: QuotaSharing): Double =
        policy.burst * if (sharing.isSmallFleet) SMALL_FLEET_SCARCE_FRACTION else SCARCE_FRACTION

    /**
     * Returns the part of the quota that this entry may use while little remains.
     *
     * It goes by what the entries admit, which peers report. Demand that was refused counts up to an equal part.
     */
    private fun ownFraction(policy: WorkspacePolicy, sharing: QuotaSharing, now: MonotonicTime): Double {
        if (sharing.isStarting) return 1.0 / sharing.entries
        val demandWithinEqualPart = minOf(ownDemand / DEMAND_WINDOW_SECONDS, policy.ratePerSecond / sharing.entries)
        val own = maxOf(ownAdmitted / DEMAND_WINDOW_SECONDS, demandWithinEqualPart) + 1.0
        val all = own + peers.values.sumOf { it.rate(now) + 1.0 }
        return maxOf(own / all, MIN_OWN_FRACTION / sharing.entries)
    }

    private companion object {
        /** Level, as a fraction of the burst, below which an entry also stays within its own part. */
        const val SCARCE_FRACTION = 0.4

        /** The same where every entry hears of all others in each round of heartbeats. */
        const val SMALL_FLEET_SCARCE_FRACTION = 0.15

        /** Level of an entry that has just started, as a part of the tolerance. */
        const val INITIAL_TOLERANCE_FRACTION = 0.1

        /** Part of the tolerance that entries that are starting may use together beside the quota's rate. */
        const val STARTING_TOLERANCE_FRACTION = 0.3
        const val DEMAND_WINDOW_SECONDS = 2.0
        const val CHARGE_SMOOTHING_FACTOR = 0.1

        /** Requests of mean size that may exceed what remains at entries that admit at the same time. */
        const val RESERVED_REQUESTS = 7.0

        /** Least part of an entry, as a fraction of an equal part. */
        const val MIN_OWN_FRACTION = 0.3
    }
}
