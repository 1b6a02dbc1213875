package org.yuccajunction.adapters.platform

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Decides whether a call to the object API may be made now. Safe for use by many threads. */
internal class StoreGate(
    private val budget: StoreBudget,
    private val clock: () -> MonotonicTime,
    private val random: Random,
) {
    private var tokens = budget.burst
    private var filledAt = clock()
    private var failures = 0
    private var closedUntil: MonotonicTime? = null

    /** Takes one call from the budget; returns why it may not be made, null where it may. */
    @Synchronized
    fun refusal(): String? {
        val now = clock()
        val passed = (now - filledAt).toDouble(DurationUnit.SECONDS)
        tokens = minOf(budget.burst, tokens + passed * budget.callsPerSecond)
        filledAt = now
        if (closedUntil?.let { now < it } == true) return "the object API failed $failures times in a row"
        if (tokens < 1) return "the budget of calls to the object API is used up"
        tokens -= 1
        return null
    }

    /** Notes that a call was answered. */
    @Synchronized
    fun succeeded() {
        failures = 0
        closedUntil = null
    }

    /** Notes that a call failed; several in a row hold later ones back. */
    @Synchronized
    fun failed() {
        failures += 1
        val excess = failures - budget.toleratedFailures
        if (excess >= 0) closedUntil = clock() + pause(excess) * random.nextDouble(MIN_JITTER, 1.0)
    }

    private fun pause(excess: Int): Duration =
        minOf(budget.firstPause * (1 shl excess.coerceAtMost(MAX_DOUBLINGS)), budget.longestPause)

    private companion object {
        const val MIN_JITTER = 0.5
        const val MAX_DOUBLINGS = 10
    }
}
