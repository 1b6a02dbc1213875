package org.yuccajunction.quota

import org.yuccajunction.forward.WorkspacePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * What all entries together may admit of one workspace, in the units of its quota.
 *
 * In any window they admit at most [capacity], what accrues in the window, and what accrues in [LOAN_VALIDITY], since
 * a lender refills its part while a loan is on its way. That sum is what [QuotaTolerance] permits.
 *
 * @property ratePerSecond what accrues in a second
 * @property capacity most that all entries together may hold
 */
internal class QuotaTerms private constructor(val ratePerSecond: Double, val capacity: Double) {
    companion object {
        /** Time from the request for a loan until what is left of the loan may no longer exceed the borrower's part. */
        val LOAN_VALIDITY: Duration = 100.milliseconds

        /** Least capacity where burst and tolerance are small, as a fraction of what is permitted in a window. */
        private const val MIN_CAPACITY_FRACTION = 0.1

        fun of(policy: WorkspacePolicy, tolerance: QuotaTolerance): QuotaTerms {
            val window = tolerance.window.toDouble(DurationUnit.SECONDS)
            val validity = LOAN_VALIDITY.toDouble(DurationUnit.SECONDS)
            val permitted = policy.ratePerSecond * window + policy.burst + tolerance.of(policy)
            val capacity =
                maxOf(permitted - policy.ratePerSecond * (window + validity), permitted * MIN_CAPACITY_FRACTION)
            return QuotaTerms((permitted - capacity) / (window + validity), capacity)
        }
    }
}
