package org.yuccajunction.rollout

import kotlin.math.ln

/**
 * The counts of all entries together, since they last looked good.
 *
 * Finds a fault that each entry alone has seen too rarely to be sure of.
 *
 * @property start the counts when the window began
 */
public data class EvidenceWindow(public val start: MoveEvidence) {
    /** Returns the window to go on with, begun anew from [total] where the counts speak for the new version. */
    public fun advance(total: MoveEvidence): EvidenceWindow =
        if (maxOf(failureOdds(total), slowOdds(total)) <= 0) EvidenceWindow(total) else this

    /** Why the new version is taken for bad given the counts [total], null while it is not. */
    public fun verdict(total: MoveEvidence): String? {
        val seen = total.new - start.new
        return when {
            failureOdds(total) >= PROOF -> "${seen.failed} of ${seen.samples} attempts at all entries failed"
            slowOdds(total) >= PROOF -> "${seen.slow} of ${seen.samples} attempts at all entries were slow"
            else -> null
        }
    }

    private fun failureOdds(total: MoveEvidence): Double {
        val seen = total.new - start.new
        return odds(seen.failed, seen.samples, rate(total.old.failed, total.old).coerceAtLeast(LEAST_FAILURES))
    }

    private fun slowOdds(total: MoveEvidence): Double {
        val seen = total.new - start.new
        return odds(seen.slow, seen.samples, rate(total.old.slow, total.old).coerceAtLeast(LEAST_SLOW))
    }

    private fun odds(faults: Long, samples: Long, usual: Double): Double {
        val raised = (usual + INCREASE).coerceAtMost(HIGHEST_RATE)
        return faults * ln(raised / usual) + (samples - faults) * ln((1 - raised) / (1 - usual))
    }

    private fun rate(faults: Long, counts: AttemptCounts): Double =
        if (counts.samples == 0L) 0.0 else (faults.toDouble() / counts.samples).coerceAtMost(HIGHEST_USUAL)

    private companion object {
        const val LEAST_FAILURES = 0.02
        const val LEAST_SLOW = 0.1
        const val HIGHEST_USUAL = 0.9
        const val HIGHEST_RATE = 0.98
        const val INCREASE = 0.3

        /** Log of the odds at which faults are taken for proven: a thousand to one. */
        val PROOF = ln(1_000.0)
    }
}
