package org.yuccajunction.adapters.platform

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Decides whether a call to the object API may be made now. Safe for use by many threads. */
internal class StoreCallLimiter(
    private val budget: StoreBudget,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private var tokens = budget.burst
    private var refilledAt = clock()
    private var consecutiveFailures = 0
    private var blockedUntil: MonotonicTime? = null

    /** Takes one call from the budget; returns why it may not be made, null where it may. */
    @Synchronized
    fun acquireOrRefusalReason(): String? {
        val now = clock()
        val elapsedSeconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        tokens = minOf(budget.burst, tokens + elapsedSeconds * budget.callsPerSecond)
        refilledAt = now
        if (blockedUntil?.let { now < it } == true) return "the object API failed $consecutiveFailures times in a row"
        if (tokens < 1) return "the budget of calls to the object API is used up"
        tokens -= 1
        return null
    }

    /** Notes that a call was answered. */
    @Synchronized
    fun recordSuccess() {
        consecutiveFailures = 0
        blockedUntil = null
    }

    /** Notes that a call failed; several in a row hold later ones back. */
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
