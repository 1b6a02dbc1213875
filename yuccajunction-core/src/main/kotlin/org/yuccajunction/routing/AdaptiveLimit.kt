package org.yuccajunction.routing

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/**
 * Shrinks this entry's share of one server while too many requests miss the latency target, and lets it grow back.
 *
 * Additive increase, multiplicative decrease; until the first decrease it grows by half at a time. The factor never
 * exceeds 1, so that the shares of all entries together never exceed the server's configured limit.
 *
 * @property factor part of the share that may be used, from 0 to 1
 * @property starting whether the share has not been shrunk since the server became ready
 * @property judged attempts since [windowSince]
 * @property missed those of [judged] that missed the target or were rejected
 */
public data class AdaptiveLimit(
    public val factor: Double = FIRST_FACTOR,
    public val windowSince: MonotonicTime,
    public val starting: Boolean = true,
    public val judged: Int = 0,
    public val missed: Int = 0,
) {
    /** Returns the limit after one more attempt at [now]. */
    public fun observe(withinTarget: Boolean, now: MonotonicTime): AdaptiveLimit {
        val next = copy(judged = judged + 1, missed = missed + if (withinTarget) 0 else 1)
        val complete = next.judged >= WINDOW_ATTEMPTS && now - windowSince >= WINDOW
        return if (complete) next.adjusted(now) else next
    }

    /** Returns how many of [share] permits may be used; at least one of any. */
    public fun permits(share: Int): Int = if (share == 0) 0 else maxOf(1, (share * factor).toInt())

    private fun adjusted(now: MonotonicTime): AdaptiveLimit {
        val tooMany = missed > judged * TOLERATED_MISSES
        val adjusted =
            when {
                tooMany -> factor * DECREASE
                starting -> factor * START_INCREASE
                else -> factor + INCREASE
            }
        return AdaptiveLimit(adjusted.coerceIn(LEAST_FACTOR, 1.0), now, starting && !tooMany)
    }

    private companion object {
        const val FIRST_FACTOR = 0.5
        const val LEAST_FACTOR = 0.05
        const val START_INCREASE = 1.5
        const val INCREASE = 0.1
        const val DECREASE = 0.75
        const val TOLERATED_MISSES = 0.1
        const val WINDOW_ATTEMPTS = 5
        val WINDOW = 1.seconds
    }
}
