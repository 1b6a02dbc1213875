package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.math.exp
import kotlin.math.pow
import kotlin.time.DurationUnit

/** What this entry knows of the load and the health of one run of a backend server. */
internal class ServerLoad(var server: BackendServer, memoryTokens: Long, firstSeenAt: MonotonicTime) {
    /** Hash of the server's identity, by which prompts find their homes. */
    val hash = RendezvousHash.hash(server.id.value)
    val prefixes = PrefixMemory((memoryTokens * MEMORY_SHARE).toLong())
    var inFlight = 0
    var unreadTokens = 0
    var heardAt = firstSeenAt
    var suspectUntil: MonotonicTime? = null

    /** Time of answers as a multiple of the predicted time, smoothed. */
    var slowness = 1.0
        private set
    private var reportedOthers = 0.0
    private var reportedWaiting = 0.0
    private var reportedAt = firstSeenAt
    private var failures = 0.0
    private var outcomes = 0.0
    private var outcomesAt = firstSeenAt

    fun isSuspect(now: MonotonicTime): Boolean = suspectUntil?.let { now < it } == true

    /** Returns the requests that other entries are believed to have here. */
    fun others(now: MonotonicTime): Double = reportedOthers * freshness(now)

    fun waiting(now: MonotonicTime): Double = reportedWaiting * freshness(now)

    private fun freshness(now: MonotonicTime): Double =
        exp(-(now - reportedAt).toDouble(DurationUnit.SECONDS) / REPORT_LIFETIME_SECONDS)

    fun reported(report: LoadReport, now: MonotonicTime) {
        reportedOthers = maxOf(0, report.running + report.waiting - inFlight).toDouble()
        reportedWaiting = report.waiting.toDouble()
        reportedAt = now
    }

    fun failureShare(now: MonotonicTime): Double {
        age(now)
        return failures / (outcomes + PRIOR_OUTCOMES)
    }

    fun ended(failure: Double, now: MonotonicTime) {
        age(now)
        failures += failure
        outcomes += 1.0
    }

    fun measured(ratio: Double) {
        val bounded = ratio.coerceIn(MIN_RATIO, MAX_RATIO)
        slowness += (bounded - slowness) * SMOOTHING
    }

    private fun age(now: MonotonicTime) {
        val seconds = (now - outcomesAt).toDouble(DurationUnit.SECONDS)
        val kept = HALF.pow(seconds / HALF_LIFE_SECONDS)
        failures *= kept
        outcomes *= kept
        outcomesAt = now
    }

    private companion object {
        const val MEMORY_SHARE = 0.8
        const val REPORT_LIFETIME_SECONDS = 3.0
        const val PRIOR_OUTCOMES = 2.0
        const val HALF = 0.5
        const val HALF_LIFE_SECONDS = 3.0
        const val SMOOTHING = 0.1
        const val MIN_RATIO = 0.3
        const val MAX_RATIO = 8.0
    }
}
