package org.yuccajunction.rollout

import kotlin.math.ln

/**
 * Detects that faults have become more frequent than beside, by a cumulative sum of log likelihood ratios.
 *
 * Good results lower the score down to 0, so that a version which fails later is found as fast as one that fails at
 * once.
 *
 * @property faults faults among [samples]
 */
public data class FaultScore(
    public val score: Double = 0.0,
    public val samples: Long = 0,
    public val faults: Long = 0,
) {
    /** Whether the faults are beyond chance. */
    public val isProven: Boolean get() = score >= PROOF_LOG_ODDS

    /** Share of faults, null for too few samples. */
    public val rate: Double? get() = if (samples < MIN_SAMPLES) null else faults.toDouble() / samples

    /** Returns the score after one more result, where [baselineRate] of the results are faults when all is well. */
    public fun add(fault: Boolean, baselineRate: Double, increase: Double): FaultScore {
        val faultyRate = (baselineRate + increase).coerceAtMost(MAX_FAULT_RATE)
        val ratio = if (fault) ln(faultyRate / baselineRate) else ln((1 - faultyRate) / (1 - baselineRate))
        return FaultScore(maxOf(0.0, score + ratio), samples + 1, faults + if (fault) 1 else 0)
    }

    /** Returns the counts after one more result, without a judgement. */
    public fun count(fault: Boolean): FaultScore =
        copy(samples = samples + 1, faults = faults + if (fault) 1 else 0)

    private companion object {
        /** Log of the odds at which faults are taken for proven: a thousand to one. */
        val PROOF_LOG_ODDS = ln(1_000.0)
        const val MAX_FAULT_RATE = 0.98
        const val MIN_SAMPLES = 20
    }
}
