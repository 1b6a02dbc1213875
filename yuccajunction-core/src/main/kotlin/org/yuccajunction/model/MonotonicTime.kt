package org.yuccajunction.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of the monotonic clock of one process, in nanoseconds since an arbitrary origin.
 *
 * Readings of different processes are not comparable.
 */
@JvmInline
public value class MonotonicTime(public val nanoseconds: Long) : Comparable<MonotonicTime> {
    /** Returns the time [duration] later, or the last or first possible one where that can't be expressed. */
    public operator fun plus(duration: Duration): MonotonicTime {
        val added = duration.inWholeNanoseconds
        val sum = nanoseconds + added
        val isOverflow = (nanoseconds xor sum) and (added xor sum) < 0
        return MonotonicTime(
            if (!isOverflow) {
                sum
            } else if (added > 0) {
                Long.MAX_VALUE
            } else {
                Long.MIN_VALUE
            },
        )
    }

    public operator fun minus(duration: Duration): MonotonicTime = this + -duration

    /** Returns the duration from [earlier] to this reading. */
    public operator fun minus(earlier: MonotonicTime): Duration = (nanoseconds - earlier.nanoseconds).nanoseconds

    override fun compareTo(other: MonotonicTime): Int = nanoseconds.compareTo(other.nanoseconds)

    public companion object {
        /** The start time of simulated clocks. */
        public val ZERO: MonotonicTime = MonotonicTime(0)
    }
}
