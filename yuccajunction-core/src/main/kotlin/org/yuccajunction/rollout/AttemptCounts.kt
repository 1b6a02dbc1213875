package org.yuccajunction.rollout

import kotlinx.serialization.Serializable

/**
 * Counts of judged attempts at one version.
 *
 * @property samples all judged attempts
 * @property failed those that failed
 * @property slow those that were slow beside the old version under the same load
 */
@Serializable
public data class AttemptCounts(public val samples: Long = 0, public val failed: Long = 0, public val slow: Long = 0) {
    public operator fun plus(other: AttemptCounts): AttemptCounts =
        AttemptCounts(samples + other.samples, failed + other.failed, slow + other.slow)

    /** Returns what was counted since [start]; nothing is negative, also where an entry has gone. */
    public operator fun minus(start: AttemptCounts): AttemptCounts {
        val failures = (failed - start.failed).coerceAtLeast(0)
        val slowOnes = (slow - start.slow).coerceAtLeast(0)
        return AttemptCounts((samples - start.samples).coerceAtLeast(maxOf(failures, slowOnes)), failures, slowOnes)
    }
}
