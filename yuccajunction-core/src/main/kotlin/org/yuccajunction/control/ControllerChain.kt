package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random

/**
 * Passes each event to all controllers in the given order, and keeps the blackboard between events.
 *
 * Not thread-safe: one thread handles all events and reads [board].
 */
public class ControllerChain(
    initial: Blackboard,
    private val controllers: PersistentList<Controller>,
    private val random: Random,
) {
    /** The blackboard after the last handled event. */
    public var board: Blackboard = initial
        private set

    /** Handles [event] at [now] and returns the commands that the entry process must perform, in order. */
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
