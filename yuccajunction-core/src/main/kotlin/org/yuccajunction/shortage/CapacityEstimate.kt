package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Learns how much work the servers of a service complete when all slots are in use.
 *
 * That is the completed work divided by the fraction of the slots in use. The unit of work cancels out, so that it need
 * not be exact.
 */
internal class CapacityEstimate {
    /** Completed work per second at an average entry with all slots in use, null before it is known. */
    var perSecond: Double? = null
        private set
    private var utilization = 0.0
    private var learnedAt: MonotonicTime? = null
    private var learnedFor = Duration.ZERO

    fun learn(completed: Double, utilization: Double, now: MonotonicTime) {
        val elapsed = learnedAt?.let { now - it } ?: Duration.ZERO
        learnedAt = now
        if (perSecond == null) this.utilization = utilization
        this.utilization += (utilization - this.utilization) * weight(elapsed, REPORT_DELAY)
        if (this.utilization < LEAST_UTILIZATION || completed <= 0.0) return
        val measured = completed / this.utilization
        learnedFor += elapsed
        val learningTime = learnedFor.coerceIn(SHORTEST_LEARNING_TIME, LEARNING_TIME)
        perSecond = perSecond?.let { it + (measured - it) * weight(elapsed, learningTime) } ?: measured
    }

    private fun weight(elapsed: Duration, timeConstant: Duration) = 1.0 - exp(-(elapsed / timeConstant))

    private companion object {
        /** Utilization below which the completed work says little of the capacity. */
        const val LEAST_UTILIZATION = 0.15

        /** Mean delay of the reports of completed work; utilization is delayed by the same, so that both agree. */
        val REPORT_DELAY = 1_300.milliseconds

        /** Work completes later than slots are taken, so the estimate is wrong for some time after each jump. */
        val LEARNING_TIME = 6.seconds
        val SHORTEST_LEARNING_TIME = 1.seconds
    }
}
