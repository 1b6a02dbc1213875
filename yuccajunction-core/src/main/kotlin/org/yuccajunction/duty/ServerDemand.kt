package org.yuccajunction.duty

import org.yuccajunction.model.MonotonicTime
import kotlin.math.ceil
import kotlin.time.DurationUnit

/** Works out how many servers the open requests of a service need; the number rises quickly and falls slowly. */
internal class ServerDemand {
    private var smoothedServers = 0.0
    private var updatedAt: MonotonicTime? = null

    /** Returns the number of servers that [openRequests] need at [now]. */
    fun update(openRequests: Double, now: MonotonicTime): Int {
        val elapsedSeconds = updatedAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: RISE_SECONDS
        updatedAt = now
        val targetServers = openRequests / OPEN_REQUESTS_PER_SERVER
        val timeConstantSeconds = if (targetServers > smoothedServers) RISE_SECONDS else FALL_SECONDS
        smoothedServers += (targetServers - smoothedServers) * minOf(1.0, elapsedSeconds / timeConstantSeconds)
        return ceil(smoothedServers).toInt()
    }

    private companion object {
        /** Open requests that one server carries with its answers in time. */
        const val OPEN_REQUESTS_PER_SERVER = 15.0
        const val RISE_SECONDS = 2.0
        const val FALL_SECONDS = 20.0
    }
}
