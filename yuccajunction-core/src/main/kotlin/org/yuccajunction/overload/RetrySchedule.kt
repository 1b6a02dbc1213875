package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Spreads the retries of rejected requests over the time in which they can be admitted.
 *
 * Each rejected request books the next free place at the rate at which requests were admitted lately.
 */
public class RetrySchedule(private val random: Random) {
    private var admitted = 0.0
    private var countedAt = MonotonicTime.ZERO
    private var nextFree = MonotonicTime.ZERO

    /** Counts a request that is admitted at [now]. */
    public fun recordAdmission(now: MonotonicTime) {
        decay(now)
        admitted += 1.0
    }

    /** Returns after which time a caller should send its request again that has [left] until its deadline at [now]. */
    public fun retryAfter(now: MonotonicTime, left: Duration): Duration {
        decay(now)
        val longest = (left / FOLLOWED_PART).coerceAtLeast(SHORTEST)
        val booked = maxOf(nextFree, now) + RATE_WINDOW / maxOf(1.0, admitted)
        val wait = booked - now
        // A place that the caller can't wait for is left to others.
        if (wait > longest) return (longest * random.nextDouble(MIN_JITTER, 1.0)).coerceAtLeast(SHORTEST)
        nextFree = booked
        return (wait * random.nextDouble(MIN_JITTER, MAX_JITTER)).coerceIn(SHORTEST, longest)
    }

    private fun decay(now: MonotonicTime) {
        val elapsed = (now - countedAt).toDouble(DurationUnit.SECONDS) / RATE_WINDOW.toDouble(DurationUnit.SECONDS)
        admitted *= exp(-elapsed.coerceAtLeast(0.0))
        countedAt = now
    }

    private companion object {
        /** Callers follow a `Retry-After` for at most a third of the time that they have left. */
        const val FOLLOWED_PART = 3.0
        const val MIN_JITTER = 0.5
        const val MAX_JITTER = 1.25
        val RATE_WINDOW = 1.seconds
        val SHORTEST = 20.milliseconds
    }
}
