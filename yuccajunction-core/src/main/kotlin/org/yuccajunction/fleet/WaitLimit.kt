package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import kotlin.time.DurationUnit

/**
 * Limits how long a stream may wait behind others for its first event.
 *
 * While the engines can't serve all requests in time, a request that waits longer would be late itself and would make
 * those after it late.
 */
internal object WaitLimit {
    /** Excess over the latency target up to which the most urgent requests are still sent. */
    private const val URGENT_EXCESS_FRACTION = 0.5

    /** Fraction of the latency target that each request may wait, however long its prompt takes. */
    private const val LEAST_WAIT_FRACTION = 0.5

    /** Returns the longest wait of [request] in milliseconds, whose first event takes [idleMillis] if none waits. */
    fun longestMillis(request: ForwardRequest, idleMillis: Double): Double {
        val targetMillis = request.route.latencyTarget.toDouble(DurationUnit.MILLISECONDS)
        val urgentMillis = targetMillis * (1.0 + URGENT_EXCESS_FRACTION / (1.0 + request.rank))
        return maxOf(urgentMillis - idleMillis, targetMillis * LEAST_WAIT_FRACTION)
    }
}
