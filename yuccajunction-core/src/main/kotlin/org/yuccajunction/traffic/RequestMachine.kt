package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime

/**
 * The life of one request without input or output.
 *
 * One instance serves one request and is confined to one coroutine. The driver performs the commands in order and
 * reports what comes of them; it calls [handle] with [RequestEvent.Ticked] at [wakeAt] at the latest.
 */
public interface RequestMachine {
    /** When the machine must be told the time again; null once the request has ended. */
    public val wakeAt: MonotonicTime?

    /** Handles [event] at [now] and returns what is to be done, in order. */
    public fun handle(event: RequestEvent, now: MonotonicTime): List<RequestCommand>
}
