package org.yuccajunction.fleet

import kotlin.math.exp
import kotlin.math.ln

/** The geometric mean of measured through predicted latencies at one server; the newest answers weigh most. */
internal class LearnedRatio {
    val value: Double get() = exp(logarithm)
    private var logarithm = 0.0

    /** Number of answers behind [value], at most [MAX_ANSWERS]. */
    var answers = 0
        private set

    /** Adds [ratio], the mean of [count] answers. */
    fun add(ratio: Double, count: Int) {
        if (count <= 0) return
        val bounded = ln(ratio.coerceIn(MIN_RATIO, MAX_RATIO))
        val weight = minOf(count, MAX_ANSWERS)
        logarithm += (bounded - logarithm) * weight / (answers + weight + PRIOR_ANSWERS)
        answers = minOf(answers + weight, MAX_ANSWERS)
    }

    private companion object {
        /** Answers beyond which older ones are forgotten; the speed of a machine changes seldom. */
        const val MAX_ANSWERS = 30

        /** Answers of usual speed that are added, so that a single answer weighs less. */
        const val PRIOR_ANSWERS = 1.0
        const val MIN_RATIO = 0.3
        const val MAX_RATIO = 3.0
    }
}
