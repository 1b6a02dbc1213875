package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.math.exp
import kotlin.math.pow
import kotlin.math.roundToInt
import kotlin.time.DurationUnit

/** This entry's estimate of the load and the health of one incarnation of a backend server. */
internal class ServerLoad(var server: BackendServer, kvCacheTokens: Long, firstSeenAt: MonotonicTime) {
    /** Hash of the server's identity, for prefix affinity by rendezvous hashing. */
    val hash = RendezvousHash.hash(server.id.value)
    val prefixCache = PrefixCacheEstimate((kvCacheTokens * USABLE_CACHE_FRACTION).toLong())

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
        meanOthers + (reportedOthers - meanOthers) * reportWeight(now)

    /** Returns the estimated number of requests at the server, those of this entry included. */
    fun requests(now: MonotonicTime): Int = inFlight + otherEntriesRequests(now).roundToInt()

    /** Returns the estimated number of requests that wait at the server. */
    fun waitingRequests(now: MonotonicTime): Double = reportedWaiting * reportWeight(now)

    /** Returns the weight of the last load report, which decays exponentially from 1. */
    private fun reportWeight(now: MonotonicTime): Double =
        exp(-(now - reportedAt).toDouble(DurationUnit.SECONDS) / REPORT_DECAY_SECONDS)

    fun recordLoadReport(report: LoadReport, now: MonotonicTime) {
        val waiting = report.waiting ?: return
        val running = report.running ?: return
        reportedOthers = maxOf(0, running + waiting - inFlight).toDouble()
        meanOthers += (reportedOthers - meanOthers) * SMOOTHING_FACTOR
        reportedWaiting = waiting.toDouble()
        reportedAt = now
        lastReport = report
    }

    /** Returns the age of the last load report, or the time since the server was listed. */
    fun knowledgeAgeMillis(now: MonotonicTime): Long = (now - reportedAt).inWholeMilliseconds

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
        val decay = HALF.pow(seconds / OUTCOME_HALF_LIFE_SECONDS)
        failures *= decay
        outcomes *= decay
        outcomesAt = now
    }

    private companion object {
        /** Fraction of the cache of an engine that is estimated to hold prompts. */
        const val USABLE_CACHE_FRACTION = 0.8

        /** Time in which the weight of a load report falls to 1/e. */
        const val REPORT_DECAY_SECONDS = 3.0

        /** Successful attempts that are added to those counted, so that a single failure weighs less. */
        const val PRIOR_OUTCOMES = 2.0
        const val HALF = 0.5
        const val OUTCOME_HALF_LIFE_SECONDS = 3.0
        const val SMOOTHING_FACTOR = 0.1
        const val MIN_RATIO = 0.3
        const val MAX_RATIO = 8.0
    }
}
