package org.yuccajunction.forward

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration

/**
 * Decides which requests an entry that stops still takes and sends to servers.
 *
 * Written by the traffic thread only; [since] may be read by any thread.
 *
 * @param usualDuration returns the time within which nearly all whole answers of a route have come
 */
public class EntryShutdown(
    private val schedule: StopSchedule,
    private val usualDuration: (route: ForwardRoute) -> Duration,
) {
    /** Time at which the graceful stop began, null while the entry runs. */
    @Volatile
    public var since: MonotonicTime? = null
        private set

    /** Begins the stop at [now], unless it has begun. */
    public fun begin(now: MonotonicTime) {
        if (since == null) since = now
    }

    /** Returns whether a request that arrives at [time] is rejected whatever it is. */
    public fun rejectsArrival(time: MonotonicTime): Boolean =
        since?.let { time - it >= schedule.takesRequestsFor } == true

    /** Returns whether [request] will have ended before open requests are ended, if it is sent to a server at [now]. */
    public fun canEndInTime(request: ForwardRequest, now: MonotonicTime): Boolean {
        val end = (since ?: return true) + schedule.endsRequestsAfter
        return minOf(now + usualDuration(request.route), request.deadline) <= end
    }
}
