package org.yuccajunction.fleet

/**
 * Learns how long an application takes for a request of each route when it is idle.
 *
 * @param scaleMillis latency target in milliseconds, a fraction of which is predicted before the first answers
 */
internal class AnswerModel(scaleMillis: Double) {
    private val initialMillis = scaleMillis * INITIAL_FRACTION
    private val idleMillisByRoute = HashMap<String, Double>()

    /** Returns the milliseconds of an idle server for a request on [route], null before the first answer. */
    fun idleMillis(route: String): Double? = idleMillisByRoute[route]

    /** Returns the predicted milliseconds until the answer of a server; [utilization] is 1 if all slots are in use. */
    fun predictMillis(route: String, utilization: Double): Double =
        (idleMillisByRoute[route] ?: initialMillis) * loadFactor(utilization)

    /** Learns from an answer that came after [measuredMillis] from a server that had [utilization]. */
    fun learn(route: String, utilization: Double, measuredMillis: Double) {
        if (route !in idleMillisByRoute && idleMillisByRoute.size >= MAX_ROUTES) return
        val idleMillis = measuredMillis / loadFactor(utilization)
        val known = idleMillisByRoute[route] ?: idleMillis
        val bounded = idleMillis.coerceAtMost(known * OUTLIER_FACTOR)
        idleMillisByRoute[route] = known + (bounded - known) * SMOOTHING_FACTOR
    }

    private fun loadFactor(utilization: Double): Double =
        1.0 + utilization * utilization + maxOf(0.0, utilization - 1.0) * QUEUE_WEIGHT

    private companion object {
        const val INITIAL_FRACTION = 0.25

        /** Weight of the utilization above 1, where requests wait. */
        const val QUEUE_WEIGHT = 3.0
        const val SMOOTHING_FACTOR = 0.1

        /** Multiple of the known time up to which a slow answer counts. */
        const val OUTLIER_FACTOR = 5.0
        const val MAX_ROUTES = 512
    }
}
