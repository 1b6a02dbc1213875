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
    public operator fun plus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds + duration.inWholeNanoseconds)

    public operator fun minus(duration: Duration): MonotonicTime =
        MonotonicTime(nanoseconds - duration.inWholeNanoseconds)

    /** Returns the duration from [earlier] to this reading. */
    public operator fun minus(earlier: MonotonicTime): Duration = (nanoseconds - earlier.nanoseconds).nanoseconds

    override fun compareTo(other: MonotonicTime): Int = nanoseconds.compareTo(other.nanoseconds)

    public companion object {
        /** The start time of simulated clocks. */
        public val ZERO: MonotonicTime = MonotonicTime(0)
    }
}
