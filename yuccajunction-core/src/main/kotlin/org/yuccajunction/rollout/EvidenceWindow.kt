package org.yuccajunction.rollout

import kotlin.math.ln

/**
 * The counts of all entries together since they last spoke for the new version.
 *
 * Detects a fault that each entry alone has seen too rarely to be sure of.
 *
 * @property start the counts at the start of the window
 */
public data class EvidenceWindow(public val start: MoveEvidence) {
    /** Returns a window that starts at [total] where the counts speak for the new version, else this window. */
    public fun restartedIfHealthy(total: MoveEvidence): EvidenceWindow =
        if (maxOf(failureLogOdds(total), slowLogOdds(total)) <= 0) EvidenceWindow(total) else this

    /** Returns why the new version counts as faulty under the counts [total], null where it does not. */
    public fun faultReason(total: MoveEvidence): String? {
        val seen = total.new - start.new
        return when {
            failureLogOdds(total) >= PROOF_LOG_ODDS ->
                "${seen.failed} of ${seen.samples} attempts of all entries failed"
            slowLogOdds(total) >= PROOF_LOG_ODDS -> "${seen.slow} of ${seen.samples} attempts of all entries were slow"
            else -> null
        }
    }

    private fun failureLogOdds(total: MoveEvidence): Double {
        val seen = total.new - start.new
        return logOdds(
            seen.failed,
            seen.samples,
            rate(total.old.failed, total.old).coerceAtLeast(MIN_BASELINE_FAILURE_RATE),
        )
    }

    private fun slowLogOdds(total: MoveEvidence): Double {
        val seen = total.new - start.new
        return logOdds(seen.slow, seen.samples, rate(total.old.slow, total.old).coerceAtLeast(MIN_BASELINE_SLOW_RATE))
    }

    private fun logOdds(faults: Long, samples: Long, baselineRate: Double): Double {
        val faultyRate = (baselineRate + FAULT_RATE_INCREASE).coerceAtMost(MAX_FAULT_RATE)
        return faults * ln(faultyRate / baselineRate) + (samples - faults) * ln((1 - faultyRate) / (1 - baselineRate))
    }

    private fun rate(faults: Long, counts: AttemptCounts): Double =
        if (counts.samples == 0L) 0.0 else (faults.toDouble() / counts.samples).coerceAtMost(MAX_BASELINE_RATE)

    private companion object {
        const val MIN_BASELINE_FAILURE_RATE = 0.02
        const val MIN_BASELINE_SLOW_RATE = 0.1
        const val MAX_BASELINE_RATE = 0.9
        const val MAX_FAULT_RATE = 0.98
        const val FAULT_RATE_INCREASE = 0.3

        /** Logarithm of the odds from which a fault counts as proven: a thousand to one. */
        val PROOF_LOG_ODDS = ln(1_000.0)
    }
}
