package org.yuccajunction.fleet

import kotlin.math.abs

/**
 * Learns how the time to the first event of a service's streams depends on the prompt and on the load of the engine.
 *
 * The time is modelled as a sum of parts: a constant, one for each token to be processed, one for each request that
 * runs at the engine and one for each that waits there. Before the first answers the parts are small fractions of
 * [scaleMillis].
 *
 * @param scaleMillis latency target of the service's streams in milliseconds
 * @param typicalTokens length of a prompt in tokens
 */
internal class FirstEventModel(private val scaleMillis: Double, typicalTokens: Int) {
    private val squares =
        priorWeights(scaleMillis, typicalTokens).let { weights ->
            RecursiveLeastSquares(weights, weights.map { it * PRIOR_DEVIATION }.toDoubleArray())
        }

    /** Smoothed time to the first event and its smoothed deviation, in milliseconds. */
    private var meanMillis = 0.0
    private var meanDeviationMillis = 0.0
    private var answers = 0

    /** The milliseconds that an engine takes to process one prompt token. */
    val millisPerToken: Double get() = squares.weight(TOKENS) / TOKEN_UNIT

    /** The milliseconds after which hardly any first event is still to come. */
    val longMillis: Double get() = meanMillis + LONG_DEVIATIONS * meanDeviationMillis

    /** Returns the milliseconds that an engine is busy with [tokens] of a prompt, null before enough answers. */
    fun workMillis(tokens: Int): Double? = if (answers < LEARNING_ANSWERS) null else tokens * millisPerToken

    /** Returns the predicted milliseconds until the first event, for a request that finds an engine in [state]. */
    fun predictMillis(state: EngineState): Double = maxOf(MIN_MILLIS, squares.predict(features(state)))

    /** Learns from a first event that came after [measuredMillis] from an engine that was in [state]. */
    fun learn(state: EngineState, measuredMillis: Double) {
        answers += 1
        squares.update(features(state), measuredMillis, deviationMillis(state))
        if (meanMillis == 0.0) meanMillis = measuredMillis
        meanDeviationMillis += (abs(measuredMillis - meanMillis) - meanDeviationMillis) * SMOOTHING_FACTOR
        meanMillis += (measuredMillis - meanMillis) * SMOOTHING_FACTOR
    }

    /** Returns the noise of a measurement; less is known of what an engine under load does than of an idle one. */
    private fun deviationMillis(state: EngineState): Double {
        val loadMillis = state.running * squares.weight(RUNNING) + state.waiting * squares.weight(WAITING)
        val relativeNoise = if (state.waiting >= 1.0) QUEUE_NOISE else RELATIVE_NOISE
        return maxOf(
            predictMillis(state) * relativeNoise + loadMillis * LOAD_NOISE,
            scaleMillis * LEAST_NOISE_FRACTION,
        )
    }

    private fun features(state: EngineState) =
        doubleArrayOf(1.0, state.unprocessedTokens / TOKEN_UNIT, state.running, state.waiting)

    private companion object {
        /** Indices of the weights of the unprocessed tokens and of the running and waiting requests. */
        const val TOKENS = 1
        const val RUNNING = 2
        const val WAITING = 3

        /** Unit in which tokens are features, so that all features are of similar size. */
        const val TOKEN_UNIT = 1_000.0
        const val MIN_MILLIS = 1.0

        /** Fractions of the latency target before the first answers: constant, prompt, running and waiting request. */
        const val CONSTANT_FRACTION = 0.05
        const val PROMPT_FRACTION = 0.25
        const val RUNNING_FRACTION = 0.005
        const val WAITING_FRACTION = 0.05

        /** Standard deviation of the prior weights as a multiple of them. */
        const val PRIOR_DEVIATION = 2.0

        /** Noise of a measured time as a fraction of the prediction, and at least of the latency target. */
        const val RELATIVE_NOISE = 0.3

        /** The same where requests wait, whose prompts this entry does not know. */
        const val QUEUE_NOISE = 1.0
        const val LEAST_NOISE_FRACTION = 0.02

        /** Noise of a measured time as a fraction of the part that the load of the engine adds. */
        const val LOAD_NOISE = 0.3
        const val SMOOTHING_FACTOR = 0.05
        const val LONG_DEVIATIONS = 4.0

        /** Answers before which the weights are mostly the prior ones. */
        const val LEARNING_ANSWERS = 15

        fun priorWeights(scaleMillis: Double, typicalTokens: Int): DoubleArray {
            val typical = maxOf(1, typicalTokens) / TOKEN_UNIT
            return doubleArrayOf(CONSTANT_FRACTION, PROMPT_FRACTION / typical, RUNNING_FRACTION, WAITING_FRACTION)
                .map { it * scaleMillis }
                .toDoubleArray()
        }
    }
}
