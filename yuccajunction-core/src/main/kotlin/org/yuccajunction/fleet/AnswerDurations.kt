package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRoute
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Learns how long the whole answers of each route take, those of streams to their last event. */
internal class AnswerDurations {
    private val durationsByRoute = HashMap<String, Known>()

    /** Learns from an answer on [route] that was whole after [duration]. */
    fun learn(route: ForwardRoute, duration: Duration) {
        val millis = duration.toDouble(DurationUnit.MILLISECONDS)
        val known = durationsByRoute[route.name]
        if (known != null) return known.learn(millis)
        if (durationsByRoute.size < MAX_ROUTES) durationsByRoute[route.name] = Known(millis)
    }

    /**
     * Returns the time within which nearly all whole answers on [route] have come.
     *
     * Before the first answer it is the latency target, or the time limit of a stream, whose target holds for its first
     * event only.
     */
    fun usual(route: ForwardRoute): Duration =
        durationsByRoute[route.name]?.usualMillis?.milliseconds
            ?: if (route.isStream) route.timeLimit else route.latencyTarget

    /** Smoothed duration and its smoothed deviation, in milliseconds. */
    private class Known(private var mean: Double) {
        private var deviation = mean * INITIAL_DEVIATION

        val usualMillis: Double get() = mean + USUAL_DEVIATIONS * deviation

        fun learn(millis: Double) {
            deviation += (abs(millis - mean) - deviation) * SMOOTHING_FACTOR
            mean += (millis - mean) * SMOOTHING_FACTOR
        }
    }

    private companion object {
        const val MAX_ROUTES = 512
        const val SMOOTHING_FACTOR = 0.1

        /** Deviation after the first answer, as a fraction of its duration. */
        const val INITIAL_DEVIATION = 0.25
        const val USUAL_DEVIATIONS = 4.0
    }
}
