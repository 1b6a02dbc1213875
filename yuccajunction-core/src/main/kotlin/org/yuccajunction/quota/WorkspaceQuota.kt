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
    private val onUrgentReport: () -> Unit,
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

    private val fleetDemand = FleetDemand(refilledAt)

    var admitted = 0.0
        private set

    /** Charges that were asked of this entry, admitted or not. */
    var requested = 0.0
        private set

    fun tryConsume(policy: WorkspacePolicy, charge: Double, sharing: QuotaSharing, now: MonotonicTime): Boolean {
        meanCharge = if (meanCharge == 0.0) charge else meanCharge + (charge - meanCharge) * CHARGE_SMOOTHING_FACTOR
        val remaining = refill(policy, sharing, now)
        ownDemand += charge
        requested += charge
        fleetDemand.addRequested(charge)
        if (!isAdmitted(policy, charge, remaining, sharing)) return false
        level = remaining - charge
        ownLevel = ownLevel?.minus(charge)
        ownAdmitted += charge
        admitted += charge
        if (sharing.isFleetWide && random.nextDouble() < urgency(policy, charge, sharing)) onUrgentReport()
        return true
    }

    /**
     * Returns the probability with which an admitted [charge] is reported to peers at once.
     *
     * It grows with what the charge takes of the quota and with the lack of quota, so that the number of reports of all
     * entries is bounded by the quota's rate and small while the quota is hardly used.
     */
    private fun urgency(policy: WorkspacePolicy, charge: Double, sharing: QuotaSharing): Double {
        val used = 1.0 - (level ?: 0.0) / capacity(policy, sharing)
        val need = (LEAST_URGENCY + used * URGENCY_OF_USE).coerceIn(LEAST_URGENCY, 1.0)
        return need * charge * URGENT_REPORTS_PER_SECOND / policy.ratePerSecond
    }

    private fun isAdmitted(
        policy: WorkspacePolicy,
        charge: Double,
        remaining: Double,
        sharing: QuotaSharing,
    ): Boolean {
        if (sharing.isFleetWide) return random.nextDouble() < admittedFraction(policy, remaining)
        val ownRemaining = ownLevel ?: 0.0
        val isScarce = sharing.isStarting || remaining < scarceLevel(policy, sharing)
        return remaining > 0.0 && (!isScarce || coversRandomPart(ownRemaining, charge))
    }

    /**
     * Returns the fraction of requests that all entries admit, by the estimated demand of all entries.
     *
     * The quota's rate is admitted, and in addition what remains above the target over some seconds.
     */
    private fun admittedFraction(policy: WorkspacePolicy, remaining: Double): Double {
        val unreported = fleetDemand.admittedByPeersPerSecond * RELAY_SECONDS
        val excess = remaining - unreported - policy.burst * TARGET_FRACTION
        val supply = policy.ratePerSecond + excess / CORRECTION_SECONDS
        return supply / maxOf(fleetDemand.requestedPerSecond, policy.ratePerSecond * MIN_DEMAND_FRACTION)
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
        fleetDemand.advance(now)
        fleetDemand.addAdmittedByPeer(maxOf(0.0, used))
        if (level == null) peerUsageBeforeLevel += used else level = level?.minus(used)
    }

    /**
     * Refills the quota before the usage of peers is taken out of it.
     *
     * Otherwise usage of the last moment would be taken out of what the quota could not hold before.
     */
    fun refillBeforeReports(policy: WorkspacePolicy, sharing: QuotaSharing, now: MonotonicTime) {
        if (sharing.isFleetWide) refill(policy, sharing, now)
    }

    /** Records that [amount] has been asked of [peer] so far. */
    fun recordPeerRequests(peer: String, incarnation: Long, amount: Double, now: MonotonicTime, isNew: Boolean) {
        fleetDemand.advance(now)
        peers[peer]?.let { fleetDemand.addRequested(it.recordRequested(incarnation, amount, isNew)) }
    }

    fun isKnown(peer: String): Boolean = peer in peers

    fun removeExpiredPeers(live: Set<String>, now: MonotonicTime) {
        peers.entries.removeIf { (name, usage) -> name !in live && usage.isExpired(now) }
    }

    /** Returns what remains of the quota, less the estimated usage of peers since their last reports. */
    private fun refill(policy: WorkspacePolicy, sharing: QuotaSharing, now: MonotonicTime): Double {
        val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        refilledAt = now
        val capacity = capacity(policy, sharing)
        val previous = level ?: (initialLevel(policy, capacity) - peerUsageBeforeLevel)
        val estimated = if (sharing.isFleetWide) 0.0 else peers.values.sumOf { it.extrapolate(now) }
        fleetDemand.advance(now)
        val remaining = minOf(capacity, previous + seconds * policy.ratePerSecond - estimated)
        level = remaining
        if (sharing.isFleetWide) {
            ownLevel = null
        } else {
            refillOwnLevel(policy, sharing, capacity, seconds, now)
        }
        return remaining
    }

    private fun refillOwnLevel(
        policy: WorkspacePolicy,
        sharing: QuotaSharing,
        capacity: Double,
        seconds: Double,
        now: MonotonicTime,
    ) {
        val decay = maxOf(0.0, 1.0 - seconds / DEMAND_WINDOW_SECONDS)
        ownDemand *= decay
        ownAdmitted *= decay
        val ownFraction = ownFraction(policy, sharing, now)
        val ownPrevious = ownLevel ?: initialOwnLevel(policy, sharing)
        ownLevel = minOf(capacity * ownFraction, ownPrevious + seconds * policy.ratePerSecond * ownFraction)
    }

    /**
     * Returns the most that may remain: the burst and the tolerance but for a reserve.
     *
     * The reserve is what a workspace with many times its usual load may use before all entries have heard of it.
     */
    private fun capacity(policy: WorkspacePolicy, sharing: QuotaSharing): Double {
        if (sharing.isFleetWide) return policy.burst + tolerance.of(policy) * FLEET_WIDE_TOLERANCE_FRACTION
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

        /** Mean time until all entries have received what one of them admits, where peers pass it on. */
        const val RELAY_SECONDS = 0.5

        /** Part of the tolerance that extends the burst; the rest is for what is admitted before it is reported. */
        const val FLEET_WIDE_TOLERANCE_FRACTION = 0.2

        /** Most reports at once for each second of the quota's rate that is admitted. */
        const val URGENT_REPORTS_PER_SECOND = 10.0
        const val LEAST_URGENCY = 0.25

        /** Urgency that is added for the whole of what may remain, where it has been used. */
        const val URGENCY_OF_USE = 3.0

        /** Level, as a fraction of the burst, to which demand beyond the quota brings the level. */
        const val TARGET_FRACTION = 0.3

        /** Time in which a deviation from that level is corrected; longer than the delay, so that it doesn't swing. */
        const val CORRECTION_SECONDS = 2.0

        /** Least estimate of the demand, as a fraction of the quota's rate. */
        const val MIN_DEMAND_FRACTION = 0.2

        /** Least part of an entry, as a fraction of an equal part. */
        const val MIN_OWN_FRACTION = 0.3
    }
}
