package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * How much work is admitted per second while the capacity of a service is short.
 *
 * The budget is the capacity, and what fills the slots that are known to be free, less what drains a queue that is too
 * long. What was admitted since the servers reported counts against the free slots, so that the entries do not all fill
 * the same ones. The budget falls at once and rises in steps unless slots
 * are free.
 */
internal class AdmissionBudget {
    private var last: Double? = null
    private var updatedAt: MonotonicTime? = null

    /**
     * Returns the budget for [capacity].
     *
     * @param requestTime mean time for which a request occupies a slot
     * @param wait time for which requests wait, which is to be [longestWait] at most
     */
    fun update(
        capacity: Double,
        occupancy: ServiceOccupancy,
        requestTime: Duration,
        longestWait: Duration,
        now: MonotonicTime,
    ): Double {
        val wait = requestTime * occupancy.waitingPerSlot
        val refill = (FILLED_UTILIZATION - occupancy.utilization) * maxOf(1.0, requestTime / KNOWLEDGE_DELAY)
        val fraction = 1.0 + refill - maxOf(0.0, (wait - longestWait) / DRAIN_TIME)
        val wanted = capacity * maxOf(LEAST_FRACTION, fraction)
        val elapsed = updatedAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        val before = last?.takeUnless { occupancy.hasRoom }
        val highest = before?.let { it + capacity * RISE_PER_SECOND * elapsed } ?: wanted
        updatedAt = now
        return minOf(wanted, highest).also { last = it }
    }

    private companion object {
        /** Utilization up to which slots are filled. */
        const val FILLED_UTILIZATION = 0.97

        /** Mean age of what an entry knows of the servers, and of what the other entries have admitted since. */
        val KNOWLEDGE_DELAY = 400.milliseconds

        /** Time in which a queue that is too long is drained. */
        val DRAIN_TIME = 300.milliseconds
        const val LEAST_FRACTION = 0.3

        /** Rise of the budget per second, as a fraction of the capacity. */
        const val RISE_PER_SECOND = 1.5
    }
}
