package org.yuccajunction.gateway

import org.yuccajunction.model.MonotonicTime

/**
 * A clock that never goes back and also counts the time for which the machine was suspended.
 *
 * The steady clock may stand still in a suspension; what the time of day has gained over it is added. A step of the
 * time of day to a later time is taken for a suspension, which errs on the safe side.
 *
 * @property steadyNanos reads the steady clock in nanoseconds
 * @property wallMillis reads the time of day in Unix milliseconds
 */
public class SuspensionAwareClock(
    private val steadyNanos: () -> Long = System::nanoTime,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private var lastSteadyNanos = steadyNanos()
    private var lastWallMillis = wallMillis()
    private var suspendedNanos = 0L

    /** Reads the clock. */
    @Synchronized
    public fun now(): MonotonicTime {
        val steady = steadyNanos()
        val wall = wallMillis()
        val wallGainNanos = (wall - lastWallMillis) * NANOS_PER_MILLI - (steady - lastSteadyNanos)
        if (wallGainNanos > MAX_DRIFT_NANOS) suspendedNanos += wallGainNanos
        lastSteadyNanos = steady
        lastWallMillis = wall
        return MonotonicTime(steady + suspendedNanos)
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MAX_DRIFT_NANOS = 200 * NANOS_PER_MILLI
    }
}
