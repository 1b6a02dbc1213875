package org.yuccajunction.fleet

/** A predicted latency together with what it was predicted from, so that the answer can be learned from. */
internal sealed interface LatencyPrediction {
    /** Predicted milliseconds at a server of usual speed. */
    val millis: Double

    /** Time until the first event of a stream from an engine in [state]. */
    class FirstEvent(val state: EngineState, override val millis: Double) : LatencyPrediction

    /** Time until the whole answer of an application with [utilization] to a request on [route]. */
    class Answer(val route: String, val utilization: Double, override val millis: Double) : LatencyPrediction
}
