package org.yuccajunction.quota

import org.yuccajunction.forward.WorkspacePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * How far all entries together may exceed a workspace's quota in any [window].
 *
 * In a window a workspace may use `(rate * window + burst) * (1 + excessFraction) + slack`. The tolerance is for
 * entries that count apart and hear of each other's usage with a delay.
 *
 * @property excessFraction excess as a fraction of what the quota permits in a window
 * @property slack excess beside that, in the units of the quota
 */
public data class QuotaTolerance(
    public val window: Duration = 8.seconds,
    public val excessFraction: Double = 0.0,
    public val slack: Double = 0.0,
) {
    init {
        require(window.isPositive()) { "window must be positive, but is $window" }
        require(excessFraction >= 0.0) { "excessFraction must not be negative, but is $excessFraction" }
        require(slack >= 0.0) { "slack must not be negative, but is $slack" }
    }

    /** Returns the tolerated excess over the quota of [policy] in one window, in the units of the quota. */
    public fun of(policy: WorkspacePolicy): Double {
        val permitted = policy.ratePerSecond * window.toDouble(DurationUnit.SECONDS) + policy.burst
        return permitted * excessFraction + slack
    }
}
