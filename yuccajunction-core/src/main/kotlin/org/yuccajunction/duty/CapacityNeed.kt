package org.yuccajunction.duty

import org.yuccajunction.model.MonotonicTime
import kotlin.math.ceil
import kotlin.time.DurationUnit

/** Works out how many servers the open requests of a service need; the number rises at once and falls slowly. */
internal class CapacityNeed {
    private var level = 0.0
    private var updatedAt: MonotonicTime? = null

    /** Returns the number of servers that [openRequests] need at [now]. */
    fun update(openRequests: Double, now: MonotonicTime): Int {
        val seconds = updatedAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        updatedAt = now
        val fallen = level * maxOf(0.0, 1.0 - seconds / FALL_SECONDS)
        level = maxOf(openRequests / REQUESTS_PER_SERVER, fallen)
        return ceil(level).toInt()
    }

    private companion object {
        /** Open requests that one server carries with its answers in time. */
        const val REQUESTS_PER_SERVER = 12.0
        const val FALL_SECONDS = 20.0
    }
}
