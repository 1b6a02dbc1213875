package org.yuccajunction.adapters.platform

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Limits calls to the object API by a token bucket, and refuses calls for an exponential backoff after consecutive
 * failures. Thread-safe.
 */
internal class StoreCallLimiter(
    private val budget: StoreBudget,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private var tokens = budget.burst
    private var refilledAt = clock()
    private var consecutiveFailures = 0
    private var blockedUntil: MonotonicTime? = null

    /** Takes one token for a call; returns null if the call may be made, else the reason for its refusal. */
    @Synchronized
    fun acquireOrRefusalReason(): String? {
        val now = clock()
        val elapsedSeconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        tokens = minOf(budget.burst, tokens + elapsedSeconds * budget.callsPerSecond)
        refilledAt = now
        if (blockedUntil?.let { now < it } == true) {
            return "the object API failed $consecutiveFailures times in a row; calls are paused for a backoff"
        }
        if (tokens < 1) return "this entry's call budget for the object API is used up"
        tokens -= 1
        return null
    }

    /** Records that the object API answered a call, and ends a backoff. */
    @Synchronized
    fun recordSuccess() {
        consecutiveFailures = 0
        blockedUntil = null
    }

    /** Records a failed call; from the limit of consecutive failures on, later calls are refused for a backoff. */
    @Synchronized
    fun recordFailure() {
        consecutiveFailures += 1
        val excessFailures = consecutiveFailures - budget.consecutiveFailureLimit
        if (excessFailures >= 0) blockedUntil = clock() + backoff(excessFailures) * random.nextDouble(MIN_JITTER, 1.0)
    }

    private fun backoff(excessFailures: Int): Duration =
        minOf(budget.initialBackoff * (1 shl excessFailures.coerceAtMost(MAX_DOUBLINGS)), budget.maxBackoff)

    private companion object {
        const val MIN_JITTER = 0.5
        const val MAX_DOUBLINGS = 10
    }
}
