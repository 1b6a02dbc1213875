package org.yuccajunction.gateway

import org.yuccajunction.model.MonotonicTime

/**
 * A monotonic clock that includes the time for which the machine was suspended.
 *
 * The system's monotonic clock may stand still during a suspension. This clock adds the time by which the wall clock
 * got ahead. A forward step of the wall clock counts as a suspension too, so that ages are too high, never too low.
 *
 * @property steadyNanos reads the system's monotonic clock in nanoseconds
 * @property wallMillis reads the wall clock in Unix milliseconds
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
