package org.yuccajunction.rollout

import kotlinx.serialization.Serializable

/**
 * The status and the counts that one entry has of one move; heartbeats carry them to the other entries.
 *
 * A move shifts the traffic of a service from an old version to a new one step by step.
 *
 * @property move name of the move
 * @property status the newest status that the entry knows, null before the first
 * @property new counts of the new version
 * @property old counts of the old version in the same time
 */
@Serializable
public data class MoveEvidence(
    public val move: String,
    public val status: MoveStatus? = null,
    public val new: AttemptCounts = AttemptCounts(),
    public val old: AttemptCounts = AttemptCounts(),
) {
    /** Returns the sums of the counts, with this evidence's status. */
    public operator fun plus(other: MoveEvidence): MoveEvidence = copy(new = new + other.new, old = old + other.old)
}
