package org.yuccajunction.rollout

import kotlin.math.ln

/**
 * A window over the counts of one move's attempts at all entries together, which shows whether the new version is
 * faulty. A move shifts the traffic of a service from an old version to a new one step by step.
 *
 * The sum shows a fault that each entry alone has seen too rarely to be sure of. The window starts anew whenever a
 * healthy version explains both the failed and the slow attempts at least as well as a faulty one, as in a cumulative
 * sum (CUSUM) test. The baseline is the old version's rate over all its counts, not only those in the window.
 *
 * @property start the counts at the start of the window
 */
public data class EvidenceWindow(public val start: MoveEvidence) {
    /** Returns whether a faulty version explains the counts [total] better than a healthy one. */
    public fun isSuspicious(total: MoveEvidence): Boolean = maxOf(failureLogOdds(total), slowLogOdds(total)) > 0

    /** Returns a window that starts at [total] where no fault is likelier than a healthy version, else this window. */
    public fun restartedIfHealthy(total: MoveEvidence): EvidenceWindow =
        if (isSuspicious(total)) this else EvidenceWindow(total)

    /** Returns the reason to treat the new version as faulty, given the counts [total]; null where there is none. */
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

    /** Returns the logarithm of the likelihood ratio of a faulty to a healthy version for [faults] in [samples]. */
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

        /** Assumed increase of the rate over the baseline in a faulty version. */
        const val FAULT_RATE_INCREASE = 0.3

        /** Logarithm of the likelihood ratio from which a fault is treated as proven: a thousand to one. */
        val PROOF_LOG_ODDS = ln(1_000.0)
    }
}
