package org.yuccajunction.rollout

import kotlinx.serialization.Serializable
import org.yuccajunction.model.FencingNumber

/**
 * The progress of one move as operators read it.
 *
 * @property move name of the move
 * @property share fraction of the new requests that the new version gets, from 0 to 1
 * @property elapsedSeconds time since the move was accepted
 * @property fencingNumber fencing number of the lease under which this status was written
 * @property detail the reason for the phase, as text for operators
 */
@Serializable
public data class MoveStatus(
    public val move: String,
    public val phase: MovePhase,
    public val share: Double,
    public val elapsedSeconds: Long = 0,
    public val fencingNumber: FencingNumber = FencingNumber(0),
    public val detail: String = "",
) {
    /** Whether the move is complete or rolled back. */
    public val isFinal: Boolean get() = phase.isFinal
}
