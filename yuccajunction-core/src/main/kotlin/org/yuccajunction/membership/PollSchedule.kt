package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * When an outside system is to be asked again.
 *
 * After each failure the interval doubles, up to a bound; every interval is jittered so that entries don't ask
 * together.
 *
 * @property nextAt when the next call is due, null for at once
 * @property consecutiveFailures calls that failed since the last one that did not
 */
public data class PollSchedule(public val nextAt: MonotonicTime? = null, public val consecutiveFailures: Int = 0) {
    /** Returns whether a call is due at [now]. */
    public fun isDue(now: MonotonicTime): Boolean = nextAt == null || now >= nextAt

    /** Returns the state after a call was begun at [now]. */
    public fun afterStart(now: MonotonicTime, interval: Duration, random: Random): PollSchedule {
        val backedOff =
            minOf(interval * (1 shl consecutiveFailures.coerceAtMost(MAX_DOUBLINGS)), maxOf(interval, MAX_INTERVAL))
        return copy(nextAt = now + backedOff * random.nextDouble(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR))
    }

    /** Returns the state after a call was answered. */
    public fun afterSuccess(): PollSchedule = copy(consecutiveFailures = 0)

    /** Returns the state after a call had no answer. */
    public fun afterFailure(): PollSchedule = copy(consecutiveFailures = consecutiveFailures + 1)

    /** Returns the state that makes the next call due at once. */
    public fun dueAtOnce(): PollSchedule = copy(nextAt = null)

    private companion object {
        const val MAX_DOUBLINGS = 5
        const val MIN_JITTER_FACTOR = 0.8
        const val MAX_JITTER_FACTOR = 1.2
        val MAX_INTERVAL = 8.seconds
    }
}
