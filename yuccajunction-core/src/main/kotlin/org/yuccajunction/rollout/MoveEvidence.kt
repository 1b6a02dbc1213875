package org.yuccajunction.rollout

import kotlinx.serialization.Serializable

/**
 * What one entry knows and has seen of one move, told to the other entries.
 *
 * @property status the newest status that the entry knows, null before the first
 * @property new counts of the new version
 * @property old counts of the old version beside it
 */
@Serializable
public data class MoveEvidence(
    public val move: String,
    public val status: MoveStatus? = null,
    public val new: AttemptCounts = AttemptCounts(),
    public val old: AttemptCounts = AttemptCounts(),
) {
    /** Returns the counts of both together. */
    public operator fun plus(other: MoveEvidence): MoveEvidence = copy(new = new + other.new, old = old + other.old)
}
