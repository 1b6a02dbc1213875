package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The outcome of one controller for one event: the changed blackboard and what is to be done. */
public data class ControlStep(
    public val board: Blackboard,
    public val commands: PersistentList<ControlCommand> = persistentListOf(),
)
