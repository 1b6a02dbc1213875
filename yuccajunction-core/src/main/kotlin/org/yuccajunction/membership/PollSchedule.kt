package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The schedule of repeated calls to an external system, with exponential backoff and jitter.
 *
 * Each failure doubles the interval up to a maximum. Every interval has a random jitter so that entries don't call at
 * the same time.
 *
 * @property nextAt when the next call is due, null for at once
 * @property consecutiveFailures calls that failed since the last successful one
 */
public data class PollSchedule(public val nextAt: MonotonicTime? = null, public val consecutiveFailures: Int = 0) {
    /** Returns whether a call is due at [now]. */
    public fun isDue(now: MonotonicTime): Boolean = nextAt == null || now >= nextAt

    /** Returns the schedule after a call was started at [now]. */
    public fun afterStart(now: MonotonicTime, interval: Duration, random: Random): PollSchedule {
        val backedOff =
            minOf(interval * (1 shl consecutiveFailures.coerceAtMost(MAX_DOUBLINGS)), maxOf(interval, MAX_INTERVAL))
        return copy(nextAt = now + backedOff * random.nextDouble(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR))
    }

    /** Returns the schedule after a call was answered. */
    public fun afterSuccess(): PollSchedule = copy(consecutiveFailures = 0)

    /** Returns the schedule after a call failed. */
    public fun afterFailure(): PollSchedule = copy(consecutiveFailures = consecutiveFailures + 1)

    /** Returns the schedule with the next call due at once. */
    public fun dueAtOnce(): PollSchedule = copy(nextAt = null)

    private companion object {
        const val MAX_DOUBLINGS = 5
        const val MIN_JITTER_FACTOR = 0.8
        const val MAX_JITTER_FACTOR = 1.2
        val MAX_INTERVAL = 8.seconds
    }
}
