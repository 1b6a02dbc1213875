package org.yuccajunction.duty

import org.yuccajunction.model.MonotonicTime
import kotlin.math.ceil
import kotlin.time.DurationUnit

/**
 * Estimates how many backend servers the open requests of one service need.
 *
 * The estimate is an exponential moving average that rises with a short time constant and falls with a long one, so
 * that capacity is ordered early in a burst and kept for a while after it.
 */
internal class ServerDemand {
    private var smoothedServers = 0.0
    private var updatedAt: MonotonicTime? = null

    /** Updates the estimate with [openRequests] at [now] and returns it, rounded up to whole servers. */
    fun update(openRequests: Double, now: MonotonicTime): Int {
        val elapsedSeconds = updatedAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: RISE_SECONDS
        updatedAt = now
        val targetServers = openRequests / OPEN_REQUESTS_PER_SERVER
        val timeConstantSeconds = if (targetServers > smoothedServers) RISE_SECONDS else FALL_SECONDS
        smoothedServers += (targetServers - smoothedServers) * minOf(1.0, elapsedSeconds / timeConstantSeconds)
        return ceil(smoothedServers).toInt()
    }

    private companion object {
        /** Open requests that one backend server can serve while it still answers in time. */
        const val OPEN_REQUESTS_PER_SERVER = 15.0
        const val RISE_SECONDS = 2.0
        const val FALL_SECONDS = 20.0
    }
}
