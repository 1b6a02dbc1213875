package org.yuccajunction.rollout

import kotlinx.serialization.Serializable

/** The phases of a move; [DONE] and [TAKEN_BACK] (rolled back) are final. */
@Serializable
public enum class MovePhase { WAITING, MOVING, LATE, DONE, TAKEN_BACK }
