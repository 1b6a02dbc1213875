package org.yuccajunction.routing

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * Limits how much of its share of one backend server this entry uses, by how many attempts miss the latency target.
 *
 * The factor follows additive increase, multiplicative decrease (AIMD). During the slow start, which ends with the
 * first decrease, the factor grows by half at a time. The factor never exceeds 1, so that the shares of all entries
 * together never exceed the server's configured limit.
 *
 * @property factor fraction of the share that may be used, from 0 to 1
 * @property windowSince start of the current window; the factor changes once a window
 * @property inSlowStart whether the factor has not been decreased since the server became ready
 * @property attempts attempts that ended since [windowSince]
 * @property misses those of [attempts] that missed the target or were rejected
 */
public data class AdaptiveLimit(
    public val factor: Double = INITIAL_FACTOR,
    public val windowSince: MonotonicTime,
    public val inSlowStart: Boolean = true,
    public val attempts: Int = 0,
    public val misses: Int = 0,
) {
    /** Returns the limit after one more attempt, with the factor adjusted where the window is complete at [now]. */
    public fun observe(withinTarget: Boolean, now: MonotonicTime): AdaptiveLimit {
        val next = copy(attempts = attempts + 1, misses = misses + if (withinTarget) 0 else 1)
        val complete = next.attempts >= MIN_WINDOW_ATTEMPTS && now - windowSince >= MIN_WINDOW
        return if (complete) next.adjusted(now) else next
    }

    /** Returns how many of [share] permits may be used; at least one unless [share] is 0. */
    public fun permits(share: Int): Int = if (share == 0) 0 else maxOf(1, (share * factor).toInt())

    private fun adjusted(now: MonotonicTime): AdaptiveLimit {
        val tooMany = misses > attempts * TOLERATED_MISS_FRACTION
        val adjusted =
            when {
                tooMany -> factor * DECREASE_FACTOR
                inSlowStart -> factor * SLOW_START_GROWTH_FACTOR
                else -> factor + INCREASE_STEP
            }
        return AdaptiveLimit(adjusted.coerceIn(MIN_FACTOR, 1.0), now, inSlowStart && !tooMany)
    }

    private companion object {
        const val INITIAL_FACTOR = 0.5
        const val MIN_FACTOR = 0.05
        const val SLOW_START_GROWTH_FACTOR = 1.5
        const val INCREASE_STEP = 0.1
        const val DECREASE_FACTOR = 0.75
        const val TOLERATED_MISS_FRACTION = 0.1
        const val MIN_WINDOW_ATTEMPTS = 5
        val MIN_WINDOW = 1.seconds
    }
}
