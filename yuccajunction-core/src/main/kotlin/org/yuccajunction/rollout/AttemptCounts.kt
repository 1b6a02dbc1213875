package org.yuccajunction.rollout

import kotlinx.serialization.Serializable

/**
 * The numbers of evaluated attempts at one version.
 *
 * @property samples all evaluated attempts
 * @property failed attempts that failed
 * @property slow attempts that were slow compared with the old version under the same load
 */
@Serializable
public data class AttemptCounts(public val samples: Long = 0, public val failed: Long = 0, public val slow: Long = 0) {
    public operator fun plus(other: AttemptCounts): AttemptCounts =
        AttemptCounts(samples + other.samples, failed + other.failed, slow + other.slow)

    /** Returns the counts since [start]; no count is negative, also after an entry with its counts was removed. */
    public operator fun minus(start: AttemptCounts): AttemptCounts {
        val failures = (failed - start.failed).coerceAtLeast(0)
        val slowOnes = (slow - start.slow).coerceAtLeast(0)
        return AttemptCounts((samples - start.samples).coerceAtLeast(maxOf(failures, slowOnes)), failures, slowOnes)
    }
}
