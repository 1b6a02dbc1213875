package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.math.exp
import kotlin.math.pow
import kotlin.math.roundToInt
import kotlin.time.DurationUnit

/**
 * This entry's estimate of the load and the health of one incarnation of a backend server.
 *
 * @property emptySince when the server was listed after its start, null if it may have run before
 */
internal class ServerLoad(
    var server: BackendServer,
    kvCacheTokens: Long,
    firstSeenAt: MonotonicTime,
    traffic: ServiceTraffic,
    val emptySince: MonotonicTime? = null,
) {
    /** What the server reports of itself; in use once a server of the service has reported its pace. */
    val reported = ReportedState(traffic)

    /** Hash of the server's identity and start, by which peers name it. */
    val incarnationHash = RendezvousHash.hash(server.incarnation).toInt() and Int.MAX_VALUE

    /** Whether the servers of the service report their pace. */
    val isPaced: Boolean get() = reported.traffic.isPaced

    /** Hash of the server's identity, for prefix affinity by rendezvous hashing. */
    val hash = RendezvousHash.hash(server.id.value)

    /** Memory for prompts and answers, in tokens. */
    val usableCacheTokens = kvCacheTokens * USABLE_CACHE_FRACTION
    val prefixCache = PrefixCacheEstimate(usableCacheTokens.toLong())

    /** Memory that this entry's open attempts take, in tokens, beside the prompt parts that others may share. */
    var inFlightTokens = 0

    /** Open attempts of this entry. */
    var inFlight = 0

    /** Open attempts of this entry whose request can't go on at another server. */
    var inFlightUnrepeatable = 0

    /** Prompt tokens of this entry's attempts that the server has yet to process. */
    var pendingPrefillTokens = 0

    /** Time of the last bytes from the server, or when the server was first listed. */
    var lastReceivedAt = firstSeenAt

    /** Time until which the server is suspected, null if it never was. */
    var suspectUntil: MonotonicTime? = null

    /** Latency as a multiple of the predicted latency, as an exponential moving average. */
    var latencyRatio = 1.0
        private set
    private var reportedOthers = 0.0
    private var meanOthers = 0.0
    private var reportedWaiting = 0.0
    private var reportedAt = firstSeenAt

    /** The last load report that names the running and the waiting requests, null before the first. */
    var lastReport: LoadReport? = null
        private set

    private var failures = 0.0
    private var outcomes = 0.0
    private var outcomesAt = firstSeenAt

    fun isSuspect(now: MonotonicTime): Boolean = suspectUntil?.let { now < it } == true

    /** Returns the estimated number of requests that other entries have there: as reported, later as on average. */
    fun otherEntriesRequests(now: MonotonicTime): Double =
        if (isPaced) {
            reported.otherRequests(inFlight, now)
        } else {
            meanOthers + (reportedOthers - meanOthers) * reportWeight(now)
        }

    /** Returns the estimated number of requests at the server, those of this entry included. */
    fun requests(now: MonotonicTime): Int = inFlight + otherEntriesRequests(now).roundToInt()

    /** Returns the estimated number of requests that wait at the server. */
    fun waitingRequests(now: MonotonicTime): Double =
        if (isPaced) reported.waitingRequests(now) else reportedWaiting * reportWeight(now)

    /** Returns the wait for a slot, by the requests that are probably there. */
    fun slotWait(now: MonotonicTime): SlotWait {
        val slots = server.slots.coerceAtLeast(1)
        val beyondSlots = inFlight + otherEntriesRequests(now) + 1.0 - slots
        return SlotWait(beyondSlots, reported.requestsVariance(now), reported.traffic.residenceMillis / slots)
    }

    /** Returns the predicted multiple of the latency at a server of usual speed and pace. */
    fun speedFactor(now: MonotonicTime): Double =
        if (isPaced) reported.pace(now) * reported.latencyRatio else latencyRatio

    /** Returns the weight of the last load report, which decays exponentially from 1. */
    private fun reportWeight(now: MonotonicTime): Double =
        exp(-(now - reportedAt).toDouble(DurationUnit.SECONDS) / REPORT_DECAY_SECONDS)

    fun recordLoadReport(report: LoadReport, now: MonotonicTime) {
        report.pacePercent?.let { reported.traffic.recordPace(it / PERCENT) }
        val waiting = report.waiting ?: return
        val running = report.running ?: return
        reportedOthers = maxOf(0, running + waiting - inFlight).toDouble()
        meanOthers += (reportedOthers - meanOthers) * SMOOTHING_FACTOR
        reportedWaiting = waiting.toDouble()
        reportedAt = now
        lastReport = report
        reported.record(running, waiting, report.pacePercent ?: 0, now)
    }

    /** Returns the weight of a rejection as a failure: 0 by a server that is nearly full, which rejects with reason. */
    fun rejectionWeight(): Double = if (reported.requests >= server.slots * NEARLY_FULL_FRACTION) 0.0 else 1.0

    /** Returns the age of the last load report, or the time since the server was listed. */
    fun knowledgeAgeMillis(now: MonotonicTime): Long =
        if (isPaced) reported.ageMillis(now).toLong() else (now - reportedAt).inWholeMilliseconds

    /** Records what a peer has observed, with the age that it names at [now]; returns whether its report is new. */
    fun recordPeerObservation(observation: ServerObservation, now: MonotonicTime): Boolean {
        if (observation.pacePercent > 0) reported.traffic.recordPace(observation.pacePercent / PERCENT)
        val isNew = reported.recordPeer(observation, now)
        if (isNew) recordOutcome(if (observation.wasRejected) rejectionWeight() else 0.0, now)
        return isNew
    }

    /** Returns the fraction of recent attempts that failed. */
    fun failureFraction(now: MonotonicTime): Double {
        decayOutcomes(now)
        return failures / (outcomes + PRIOR_OUTCOMES)
    }

    /** Counts the end of an attempt, with [failure] between 0 for none and 1. */
    fun recordOutcome(failure: Double, now: MonotonicTime) {
        decayOutcomes(now)
        failures += failure
        outcomes += 1.0
    }

    /** Adds to the moving average the [ratio] of a measured latency to the one predicted without [latencyRatio]. */
    fun recordLatencyRatio(ratio: Double) {
        val bounded = ratio.coerceIn(MIN_RATIO, MAX_RATIO)
        latencyRatio += (bounded - latencyRatio) * SMOOTHING_FACTOR
    }

    private fun decayOutcomes(now: MonotonicTime) {
        val seconds = (now - outcomesAt).toDouble(DurationUnit.SECONDS)
        val halfLife = if (isPaced) PACED_OUTCOME_HALF_LIFE_SECONDS else OUTCOME_HALF_LIFE_SECONDS
        val decay = HALF.pow(seconds / halfLife)
        failures *= decay
        outcomes *= decay
        outcomesAt = now
    }

    private companion object {
        const val PERCENT = 100.0

        /** Part of the slots in use from which a server may have become full since its report. */
        const val NEARLY_FULL_FRACTION = 0.75

        /** Fraction of the cache of an engine that is estimated to hold prompts. */
        const val USABLE_CACHE_FRACTION = 0.8

        /** Time in which the weight of a load report falls to 1/e. */
        const val REPORT_DECAY_SECONDS = 3.0

        /** Successful attempts that are added to those counted, so that a single failure weighs less. */
        const val PRIOR_OUTCOMES = 2.0
        const val HALF = 0.5
        const val OUTCOME_HALF_LIFE_SECONDS = 3.0

        /** Longer, since the entries avoid a rejecting server together, so that fewer of its answers are seen. */
        const val PACED_OUTCOME_HALF_LIFE_SECONDS = 6.5
        const val SMOOTHING_FACTOR = 0.1
        const val MIN_RATIO = 0.3
        const val MAX_RATIO = 8.0
    }
}
