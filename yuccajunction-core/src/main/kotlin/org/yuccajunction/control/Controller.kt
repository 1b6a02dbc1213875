package org.yuccajunction.control

import kotlin.random.Random

/**
 * Handles one concern of control as a pure function of the blackboard and an event.
 *
 * A controller owns no thread, clock, socket or random source: the time is [Blackboard.now], and the caller passes the
 * random source.
 */
public fun interface Controller {
    public fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep
}
