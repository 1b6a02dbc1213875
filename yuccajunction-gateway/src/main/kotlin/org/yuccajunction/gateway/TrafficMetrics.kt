package org.yuccajunction.gateway

import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Counters and latency histograms of forwarded requests, by workspace and class. */
public class TrafficMetrics {
    private val registry by lazy { PrometheusMeterRegistry(PrometheusConfig.DEFAULT) }
    private val timers = HashMap<Triple<String, String, String>, Timer>()

    /** Records a request of [workspace] and [requestClass] that ended as [outcome] after [nanos]. */
    public fun requestEnded(workspace: String, requestClass: String, outcome: String, nanos: Long) {
        timers
            .getOrPut(Triple(workspace, requestClass, outcome)) { timer(workspace, requestClass, outcome) }
            .record(nanos, TimeUnit.NANOSECONDS)
    }

    /** Counts an attempt that ended with [end]. */
    public fun attemptEnded(end: String) {
        registry.counter("yuccajunction.forward.attempts", "end", end).increment()
    }

    /** Counts a call to the platform's store that ended as [outcome]. */
    public fun storeCallEnded(outcome: String) {
        registry.counter("yuccajunction.store.calls", "outcome", outcome).increment()
    }

    /** Returns all metrics as text. */
    public fun scrape(): String = registry.scrape()

    private fun timer(workspace: String, requestClass: String, outcome: String): Timer =
        Timer
            .builder("yuccajunction.forward.requests")
            .tags("workspace", workspace, "class", requestClass, "outcome", outcome)
            .serviceLevelObjectives(*LATENCY_BUCKETS)
            .register(registry)

    private companion object {
        val LATENCY_BUCKETS: Array<Duration> =
            longArrayOf(25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400)
                .map { Duration.ofMillis(it) }
                .toTypedArray()
    }
}
