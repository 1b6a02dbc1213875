package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random

/**
 * Runs every controller over each event, in the order in which they are given.
 *
 * Confined to one thread. [board] may be read by that thread only.
 */
public class ControllerChain(
    initial: Blackboard,
    private val controllers: PersistentList<Controller>,
    private val random: Random,
) {
    /** The control state after the last handled event. */
    public var board: Blackboard = initial
        private set

    /** Handles [event] at [now] and returns what the daemon is to do, in order. */
    public fun handle(event: ControlEvent, now: MonotonicTime): PersistentList<ControlCommand> {
        board = board.copy(now = now)
        return controllers.flatMap { controller -> step(controller, event) }.toPersistentList()
    }

    private fun step(controller: Controller, event: ControlEvent): PersistentList<ControlCommand> {
        val step = controller.handle(board, event, random)
        board = step.board
        return step.commands
    }
}
