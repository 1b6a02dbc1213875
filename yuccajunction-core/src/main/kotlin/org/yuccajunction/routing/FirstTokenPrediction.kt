package org.yuccajunction.routing

import kotlin.math.exp

/** Predicts the time to the first token from this entry's open requests and the server's last load report. */
internal object FirstTokenPrediction {
    private const val REPORT_DECAY_TIME_MILLIS = 2_000.0
    private const val DEFAULT_TARGET_FRACTION = 0.5

    /** Returns the predicted milliseconds to the first token, with [open] requests of this entry at [server]. */
    fun millis(server: ServerRoute, open: Int, targetMillis: Long): Double {
        val base = server.meanFirstTokenMillis ?: (targetMillis * DEFAULT_TARGET_FRACTION)
        return base * (1.0 + maxOf(occupancy(server, open), open.toDouble() / maxOf(server.permits, 1)))
    }

    /**
     * Returns the requests at [server] divided by the server's limit.
     *
     * Reported requests of other entries count less with the age of the report.
     */
    fun occupancy(server: ServerRoute, open: Int): Double {
        val report = server.report ?: return open.toDouble() / maxOf(server.limit, 1)
        val otherRequests = maxOf(0, report.running + report.waiting - open)
        val weightedOtherRequests = otherRequests * exp(-server.reportAgeMillis / REPORT_DECAY_TIME_MILLIS)
        return (open + weightedOtherRequests) / maxOf(server.limit, 1)
    }
}
