package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime

/**
 * A state machine that decides the course of one request, without input or output of its own.
 *
 * One instance serves one request and is confined to one coroutine. The driver performs the commands in order and
 * reports their results as events; the driver calls [handle] with [RequestEvent.Ticked] at [wakeAt] at the latest.
 */
public interface RequestMachine {
    /** Time of the next [RequestEvent.Ticked] that the machine needs, null after the request has ended. */
    public val wakeAt: MonotonicTime?

    /** Handles [event] at [now] and returns the commands to perform, in order. */
    public fun handle(event: RequestEvent, now: MonotonicTime): List<RequestCommand>
}
