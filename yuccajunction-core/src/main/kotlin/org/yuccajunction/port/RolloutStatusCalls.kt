package org.yuccajunction.port

import org.yuccajunction.rollout.MovePhase
import org.yuccajunction.rollout.RolloutOrder

/** Reports to the operator how far an ordered move is. */
public fun interface RolloutStatusCalls {
    /** Writes [phase] as the status of [order], if the order is unchanged since it was read. */
    public suspend fun writeStatus(order: RolloutOrder, phase: MovePhase): ObjectWriting
}
