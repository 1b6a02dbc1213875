package org.yuccajunction.rollout

import kotlinx.serialization.Serializable
import org.yuccajunction.model.FencingNumber

/**
 * How far one move of a version has come, as operators read it.
 *
 * @property share share of new requests that the new version gets, from 0 to 1
 * @property fencingNumber fencing number of the lease under which this was written
 * @property detail the reason for the phase, for people
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
    /** Whether the move is over. */
    public val isFinal: Boolean get() = phase == MovePhase.DONE || phase == MovePhase.TAKEN_BACK
}
