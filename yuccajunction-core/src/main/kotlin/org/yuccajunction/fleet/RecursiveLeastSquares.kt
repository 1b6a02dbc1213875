package org.yuccajunction.fleet

import kotlin.math.sqrt

/**
 * Estimates non-negative weights of a linear model from a stream of measurements, and forgets old ones exponentially.
 *
 * The estimate begins at prior weights that each may be wrong by its deviation. A measurement far from its prediction
 * counts only up to a limit, so that a single outlier can't spoil the estimate.
 *
 * @param priorWeights weights before the first measurement
 * @param priorDeviations standard deviation of each prior weight
 */
internal class RecursiveLeastSquares(priorWeights: DoubleArray, private val priorDeviations: DoubleArray) {
    private val weights = priorWeights.copyOf()
    private val size = weights.size

    /** Covariance of the weights. */
    private val covariance =
        Array(size) { row ->
            DoubleArray(size) { column -> if (row == column) priorDeviations[row] * priorDeviations[row] else 0.0 }
        }

    init {
        require(priorDeviations.size == size) { "expected $size deviations, but got ${priorDeviations.size}" }
    }

    /** Returns the weight at [index]. */
    fun weight(index: Int): Double = weights[index]

    /** Returns the prediction for [features]. */
    fun predict(features: DoubleArray): Double = dot(weights, features)

    /** Corrects the weights by a [measured] value for [features], whose noise has the standard [deviation]. */
    fun update(features: DoubleArray, measured: Double, deviation: Double) {
        val gain = DoubleArray(size) { dot(covariance[it], features) }
        val variance = dot(gain, features) + deviation * deviation
        val limit = sqrt(variance) * OUTLIER_DEVIATIONS
        val error = (measured - predict(features)).coerceIn(-limit, limit)
        for (row in 0 until size) weights[row] = maxOf(0.0, weights[row] + gain[row] / variance * error)
        for (row in 0 until size) {
            for (column in 0 until size) {
                covariance[row][column] -= gain[row] * gain[column] / variance
            }
        }
        forget()
    }

    /** Widens the covariance, but no variance beyond its prior one, which would grow without bound while idle. */
    private fun forget() {
        for (row in 0 until size) {
            val prior = priorDeviations[row] * priorDeviations[row]
            if (covariance[row][row] / FORGETTING_FACTOR > prior) continue
            for (column in 0 until size) covariance[row][column] /= sqrt(FORGETTING_FACTOR)
            for (column in 0 until size) covariance[column][row] /= sqrt(FORGETTING_FACTOR)
        }
    }

    private fun dot(left: DoubleArray, right: DoubleArray): Double {
        var sum = 0.0
        for (index in left.indices) sum += left[index] * right[index]
        return sum
    }

    private companion object {
        const val FORGETTING_FACTOR = 0.995

        /** Standard deviations up to which the error of a prediction counts. */
        const val OUTLIER_DEVIATIONS = 2.5
    }
}
