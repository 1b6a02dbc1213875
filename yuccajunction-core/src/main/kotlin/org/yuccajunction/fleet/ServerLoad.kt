package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.math.exp
import kotlin.math.pow
import kotlin.time.DurationUnit

/** What this entry knows of the load and the health of one run of a backend server. */
internal class ServerLoad(var server: BackendServer, kvCacheTokens: Long, firstSeenAt: MonotonicTime) {
    /** Hash of the server's identity, by which prompts find their homes. */
    val hash = RendezvousHash.hash(server.id.value)
    val prefixCache = PrefixCacheEstimate((kvCacheTokens * USABLE_CACHE_FRACTION).toLong())
    var inFlight = 0
    var pendingPrefillTokens = 0
    var lastReceivedAt = firstSeenAt
    var suspectUntil: MonotonicTime? = null

    /** Time of answers as a multiple of the predicted time, smoothed. */
    var latencyRatio = 1.0
        private set
    private var reportedOthers = 0.0
    private var reportedWaiting = 0.0
    private var reportedAt = firstSeenAt
    private var failures = 0.0
    private var outcomes = 0.0
    private var outcomesAt = firstSeenAt

    fun isSuspect(now: MonotonicTime): Boolean = suspectUntil?.let { now < it } == true

    /** Returns the requests that other entries are believed to have here. */
    fun otherEntriesRequests(now: MonotonicTime): Double = reportedOthers * reportWeight(now)

    fun waitingRequests(now: MonotonicTime): Double = reportedWaiting * reportWeight(now)

    private fun reportWeight(now: MonotonicTime): Double =
        exp(-(now - reportedAt).toDouble(DurationUnit.SECONDS) / REPORT_DECAY_SECONDS)

    fun recordLoadReport(report: LoadReport, now: MonotonicTime) {
        reportedOthers = maxOf(0, report.running + report.waiting - inFlight).toDouble()
        reportedWaiting = report.waiting.toDouble()
        reportedAt = now
    }

    fun failureFraction(now: MonotonicTime): Double {
        decayOutcomes(now)
        return failures / (outcomes + PRIOR_OUTCOMES)
    }

    fun recordOutcome(failure: Double, now: MonotonicTime) {
        decayOutcomes(now)
        failures += failure
        outcomes += 1.0
    }

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
        const val USABLE_CACHE_FRACTION = 0.8
        const val REPORT_DECAY_SECONDS = 3.0
        const val PRIOR_OUTCOMES = 2.0
        const val HALF = 0.5
        const val OUTCOME_HALF_LIFE_SECONDS = 3.0
        const val SMOOTHING_FACTOR = 0.1
        const val MIN_RATIO = 0.3
        const val MAX_RATIO = 8.0
    }
}
