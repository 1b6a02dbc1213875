package org.yuccajunction.control

import kotlin.random.Random

/**
 * Handles the events of one part of the control state, such as the leases, as a pure function.
 *
 * The function reads the [Blackboard], which holds the whole control state of an entry, and returns a changed copy.
 *
 * A controller owns no thread, clock, socket or random source: the time is [Blackboard.now], and the caller passes the
 * random source.
 */
public fun interface Controller {
    public fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep
}
