package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.model.ServiceName
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln

/**
 * Records how well the latencies of each service's answers were predicted.
 *
 * Writes a line when the predictions of a service go astray, and counts again once they are good.
 */
internal class PredictionTelemetry(private val metrics: TrafficMetrics, private val log: DecisionLog) {
    private val errors = HashMap<ServiceName, MeanError>()

    fun record(service: ServiceName, predictedMillis: Double, measuredMillis: Double) {
        val ratio = maxOf(measuredMillis, LEAST_MILLIS) / maxOf(predictedMillis, LEAST_MILLIS)
        metrics.latencyPredicted(service.value, ratio)
        val error = errors.getOrPut(service) { MeanError() }
        error.add(abs(ln(ratio)))
        val factor = exp(error.logarithm)
        if (error.isAstray == factor > if (error.isAstray) GOOD_FACTOR else ASTRAY_FACTOR) return
        error.isAstray = !error.isAstray
        if (!error.isAstray) return
        log.write(LogEvent.PREDICTION_ASTRAY) {
            field("service", service)
            field("factor", factor)
            field("predictedMillis", predictedMillis.toLong())
            field("measuredMillis", measuredMillis.toLong())
        }
    }

    /** Moving average of the absolute logarithm of the ratio of measured to predicted latency. */
    private class MeanError {
        var logarithm = 0.0
            private set
        var isAstray = false

        fun add(sample: Double) {
            logarithm += (sample - logarithm) * SMOOTHING_FACTOR
        }
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.02

        /** Latencies below this count as this, since small ones are mostly jitter. */
        const val LEAST_MILLIS = 5.0

        /** Mean factor between prediction and measurement above which the predictions are astray. */
        const val ASTRAY_FACTOR = 3.0

        /** Mean factor below which they are good again. */
        const val GOOD_FACTOR = 2.0
    }
}
