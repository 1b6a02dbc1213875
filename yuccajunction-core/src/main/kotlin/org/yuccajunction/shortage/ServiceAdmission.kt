package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Admits or rejects the requests of one service by the demand at all entries and the load of its servers. */
internal class ServiceAdmission(
    service: ServiceName,
    startedAt: MonotonicTime,
    private val random: Random,
    private val weight: (Int) -> Double,
) {
    val meter = DemandMeter(service.value, startedAt)
    val fleet = FleetDemand()
    val rejections = RejectionLog(service)
    private val capacity = CapacityEstimate()
    private val budget = AdmissionBudget()
    private val targets = HashMap<Int, Duration>()
    private var level: AdmissionLevel? = null
    private var updatedAt: MonotonicTime? = null
    private var occupancy: ServiceOccupancy? = null
    private var roomSince: MonotonicTime? = null

    /** Whether requests are rejected, or may be soon. */
    val isShort: Boolean get() = occupancy?.hasRoom == false

    /** Decides on [request]; [own] is how full the servers are as this entry knows by itself. */
    fun decide(request: ShortageRequest, own: ServiceOccupancy, now: MonotonicTime): AdmissionDecision {
        meter.recordRequest(request, now)
        targets[DemandMeter.rankIndex(request.rank)] = request.latencyTarget
        if (updatedAt.let { it == null || now - it >= UPDATE_INTERVAL }) update(own, now)
        val current = level ?: return AdmissionDecision.Admit
        val admitted = current.fraction(WorkspaceHash.of(request.workspace), request.rank)
        val known = occupancy ?: own
        val fraction = 1.0 - (1.0 - admitted) * trust(known)
        if (drawOf(request) < fraction) return AdmissionDecision.Admit
        meter.recordRejection(request, now)
        val terms = terms(fraction, current, known)
        rejections.record(request.rank, terms)
        return AdmissionDecision.Reject(retryAfter(request, current, terms), terms)
    }

    private fun update(own: ServiceOccupancy, now: MonotonicTime) {
        updatedAt = now
        val demand = fleet.mean(meter.report(own, now, Int.MAX_VALUE), own.ageMillis.milliseconds, now)
        val all = demand.occupancy ?: own
        occupancy = all
        capacity.learn(demand.completed, all.utilization, now)
        val known = capacity.perSecond
        val longestWait = targets.values.min() * WAIT_FRACTION
        val admitted = known?.let { budget.update(it, all, demand.requestWork.milliseconds, longestWait, now) }
        val next = admitted?.let { AdmissionLevel.of(demand, weight, known, it) }?.takeIf { it.isRestricted }
        level = next.takeUnless { isRoomCertain(all, now) }
    }

    /**
     * Returns whether a tenth of the slots is free for certain.
     *
     * While requests are being rejected, that must have been known for as long as what the entries admit takes to show
     * in the load reports. Else all entries would fill the same slots.
     */
    private fun isRoomCertain(occupancy: ServiceOccupancy, now: MonotonicTime): Boolean {
        val since = if (occupancy.hasRoom) roomSince ?: now else null
        roomSince = since
        return since != null && (level == null || now - since >= REPORT_DELAY)
    }

    /** Returns how far [occupancy] counts: all at first, nothing after ten seconds. */
    private fun trust(occupancy: ServiceOccupancy): Double =
        (1.0 - (occupancy.ageMillis.milliseconds - CURRENT_AGE) / (LONGEST_AGE - CURRENT_AGE)).coerceIn(0.0, 1.0)

    /** Returns a number from 0 to 1 that any entry draws for this try of the request. */
    private fun drawOf(request: ShortageRequest): Double =
        (request.identityHash ushr HASH_SHIFT).toDouble() / (1L shl (Long.SIZE_BITS - HASH_SHIFT))

    private fun terms(fraction: Double, level: AdmissionLevel, occupancy: ServiceOccupancy) =
        AdmissionTerms(
            admittedFraction = fraction,
            demand = level.demand.total,
            capacity = capacity.perSecond ?: 0.0,
            budget = level.budget,
            waitMillis = occupancy.waitingPerSlot * level.demand.requestWork,
        )

    /**
     * Returns the time until the backlog ahead of [request] has been served, spread at random.
     *
     * The backlog is what waits and what was rejected of this and more urgent ranks in a second and may be retried. A
     * caller does not wait for longer than a third of its time.
     */
    private fun retryAfter(request: ShortageRequest, level: AdmissionLevel, terms: AdmissionTerms): Duration {
        val rejected = level.demand.rejected.take(DemandMeter.rankIndex(request.rank) + 1).sum()
        val backlog = terms.waitMillis.milliseconds + (rejected / maxOf(1.0, terms.capacity)).seconds
        val spread = backlog * random.nextDouble(LEAST_SPREAD, GREATEST_SPREAD) + LEAST_RETRY * random.nextDouble()
        val longest = minOf(LONGEST_RETRY, request.remaining * USED_TIME_FRACTION)
        val most = maxOf(LEAST_RETRY, longest * random.nextDouble(LEAST_LONGEST, 1.0))
        return spread.coerceIn(LEAST_RETRY, most)
    }

    private companion object {
        /** Time until what the entries admit shows in the load reports that this entry knows. */
        val REPORT_DELAY = 400.milliseconds
        val UPDATE_INTERVAL = 50.milliseconds

        /** Time for which requests may wait at the servers, as a fraction of the shortest latency target. */
        const val WAIT_FRACTION = 0.08

        /** Age up to which load reports count fully, and from which on they do not count. */
        val CURRENT_AGE = 1.seconds
        val LONGEST_AGE = 10.seconds
        const val HASH_SHIFT = 11
        const val LEAST_SPREAD = 0.5
        const val GREATEST_SPREAD = 1.5

        /** Least part of the longest time, so that callers do not all retry after that. */
        const val LEAST_LONGEST = 0.6
        val LEAST_RETRY = 100.milliseconds
        val LONGEST_RETRY = 3.seconds

        /** A little less than the third of its time for which a caller waits. */
        const val USED_TIME_FRACTION = 0.32
    }
}
