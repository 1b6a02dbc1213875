package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The result of one controller for one event: the changed blackboard and the commands to perform. */
public data class ControlStep(
    public val board: Blackboard,
    public val commands: PersistentList<ControlCommand> = persistentListOf(),
)
