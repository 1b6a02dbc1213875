package org.yuccajunction.control

import kotlin.random.Random

/**
 * One concern of the control state, as a function of the blackboard and an event.
 *
 * It owns no thread, clock, socket or random source: [Blackboard.now] is the time and [Random] comes from the caller.
 */
public fun interface Controller {
    public fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep
}
