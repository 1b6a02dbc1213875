package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.DurationUnit

/** Measures work as the number of servers that it keeps busy, averaged over the last seconds. */
internal class WorkMeter(private var updatedAt: MonotonicTime) {
    /** Work of the last seconds in server milliseconds, with exponentially falling weight. */
    private var recentMillis = 0.0

    /** Adds work that keeps one server busy for [millis]. */
    fun add(millis: Double, now: MonotonicTime) {
        decay(now)
        recentMillis += millis
    }

    /** Returns the number of servers that the recent work keeps busy. */
    fun busyServers(now: MonotonicTime): Double {
        decay(now)
        return recentMillis / WINDOW_MILLIS
    }

    private fun decay(now: MonotonicTime) {
        recentMillis *= exp(-(now - updatedAt).toDouble(DurationUnit.MILLISECONDS) / WINDOW_MILLIS)
        updatedAt = now
    }

    private companion object {
        const val WINDOW_MILLIS = 3_000.0
    }
}
