package org.yuccajunction.rollout

import kotlin.math.ln

/**
 * Detects that faults are more frequent than the baseline, by a cumulative sum (CUSUM) of log likelihood ratios.
 *
 * Good results lower the score, but never below 0, so that a version that starts to fail later is detected as fast as
 * one that fails at once.
 *
 * @property score the cumulative sum
 * @property samples number of results
 * @property faults number of faults among [samples]
 */
public data class FaultScore(
    public val score: Double = 0.0,
    public val samples: Long = 0,
    public val faults: Long = 0,
) {
    /** Whether the faults are too frequent to be chance. */
    public val isProven: Boolean get() = score >= PROOF_LOG_ODDS

    /** Fraction of faults, null for too few samples. */
    public val rate: Double? get() = if (samples < MIN_SAMPLES) null else faults.toDouble() / samples

    /**
     * Returns the score after one more result.
     *
     * The score compares the fault rate [baselineRate] of a healthy version with a rate that is higher by [increase].
     */
    public fun add(fault: Boolean, baselineRate: Double, increase: Double): FaultScore {
        val faultyRate = (baselineRate + increase).coerceAtMost(MAX_FAULT_RATE)
        val ratio = if (fault) ln(faultyRate / baselineRate) else ln((1 - faultyRate) / (1 - baselineRate))
        return FaultScore(maxOf(0.0, score + ratio), samples + 1, faults + if (fault) 1 else 0)
    }

    /** Returns the counts after one more result, with the score unchanged. */
    public fun count(fault: Boolean): FaultScore =
        copy(samples = samples + 1, faults = faults + if (fault) 1 else 0)

    private companion object {
        /** Logarithm of the odds from which faults count as proven: a thousand to one. */
        val PROOF_LOG_ODDS = ln(1_000.0)
        const val MAX_FAULT_RATE = 0.98
        const val MIN_SAMPLES = 20
    }
}
