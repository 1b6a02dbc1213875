package org.yuccajunction.rollout

import kotlinx.serialization.Serializable

/** The phases of a move; [DONE] and [TAKEN_BACK] (rolled back) are final. */
@Serializable
public enum class MovePhase {
    WAITING,
    MOVING,
    LATE,
    DONE,
    TAKEN_BACK,
    ;

    /** Whether this phase ends a move. */
    public val isFinal: Boolean get() = this == DONE || this == TAKEN_BACK

    /** The phase that the status of an order reports to the operator, null where it reports none yet. */
    public val reportedPhase: MovePhase?
        get() =
            when (this) {
                WAITING -> null
                MOVING, LATE -> MOVING
                DONE, TAKEN_BACK -> this
            }
}
