package org.yuccajunction.duty

import org.yuccajunction.model.MonotonicTime
import kotlin.math.ceil
import kotlin.time.DurationUnit

/** Works out how many servers the open requests of a service need; the number rises quickly and falls slowly. */
internal class CapacityNeed {
    private var level = 0.0
    private var updatedAt: MonotonicTime? = null

    /** Returns the number of servers that [openRequests] need at [now]. */
    fun update(openRequests: Double, now: MonotonicTime): Int {
        val seconds = updatedAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: RISE_SECONDS
        updatedAt = now
        val target = openRequests / REQUESTS_PER_SERVER
        val span = if (target > level) RISE_SECONDS else FALL_SECONDS
        level += (target - level) * minOf(1.0, seconds / span)
        return ceil(level).toInt()
    }

    private companion object {
        /** Open requests that one server carries with its answers in time. */
        const val REQUESTS_PER_SERVER = 15.0
        const val RISE_SECONDS = 2.0
        const val FALL_SECONDS = 20.0
    }
}
