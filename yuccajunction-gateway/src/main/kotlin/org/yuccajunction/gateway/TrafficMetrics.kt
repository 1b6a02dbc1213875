package org.yuccajunction.gateway

import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Records latency histograms and counters of forwarded requests, and counters of calls to the platform's store. */
public class TrafficMetrics {
    private val registry by lazy { PrometheusMeterRegistry(PrometheusConfig.DEFAULT) }
    private val loopDelay by lazy {
        Timer
            .builder("yuccajunction.entry.loop.delay")
            .serviceLevelObjectives(*LOOP_DELAY_BUCKETS)
            .register(registry)
    }
    private val timers = HashMap<Triple<String, String, String>, Timer>()
    private val predictions = HashMap<String, DistributionSummary>()

    /** Records a request of [workspace] and [requestClass] that ended with [outcome] after [nanos] nanoseconds. */
    public fun requestEnded(workspace: String, requestClass: String, outcome: String, nanos: Long) {
        timers
            .getOrPut(Triple(workspace, requestClass, outcome)) { timer(workspace, requestClass, outcome) }
            .record(nanos, TimeUnit.NANOSECONDS)
    }

    /** Counts an attempt that ended as [end], without an answer that can be passed on. */
    public fun attemptEnded(end: String) {
        registry.counter("yuccajunction.forward.attempts", "end", end).increment()
    }

    /** Counts an answer that belongs to no open request of its connection, of the given [kind]. */
    public fun extraAnswer(kind: String) {
        registry.counter("yuccajunction.forward.extra.answers", "kind", kind).increment()
    }

    /** Counts a request that was rejected or dropped by [cause], because the event loop of this entry is late. */
    public fun overloadRejected(cause: String) {
        registry.counter("yuccajunction.entry.rejections", "cause", cause).increment()
    }

    /** Records that the event loop is late by [nanos] nanoseconds as it admits requests. */
    public fun loopDelayed(nanos: Long) {
        loopDelay.record(nanos, TimeUnit.NANOSECONDS)
    }

    /** Counts a call to the platform's store that ended with [outcome]. */
    public fun storeCallEnded(outcome: String) {
        registry.counter("yuccajunction.store.calls", "outcome", outcome).increment()
    }

    /** Records the [ratio] of the measured to the predicted latency of an answer of [service]. */
    public fun latencyPredicted(service: String, ratio: Double) {
        predictions.getOrPut(service) { predictionSummary(service) }.record(ratio)
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    private fun timer(workspace: String, requestClass: String, outcome: String): Timer =
        Timer
            .builder("yuccajunction.forward.requests")
            .tags("workspace", workspace, "class", requestClass, "outcome", outcome)
            .serviceLevelObjectives(*LATENCY_BUCKETS)
            .register(registry)

    private fun predictionSummary(service: String): DistributionSummary =
        DistributionSummary
            .builder("yuccajunction.forward.latency.ratio")
            .tags("service", service)
            .serviceLevelObjectives(*RATIO_BUCKETS)
            .register(registry)

    private companion object {
        val LOOP_DELAY_BUCKETS =
            longArrayOf(1, 3, 10, 30, 100, 300, 1_000).map { Duration.ofMillis(it) }.toTypedArray()
        val RATIO_BUCKETS = doubleArrayOf(0.25, 0.5, 0.8, 1.0, 1.25, 2.0, 4.0)

        val LATENCY_BUCKETS: Array<Duration> =
            longArrayOf(25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400)
                .map { Duration.ofMillis(it) }
                .toTypedArray()
    }
}
