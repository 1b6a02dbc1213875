package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime

/**
 * Estimates how long accepted connections have waited in the accept queue of a listening socket.
 *
 * At most [limit] connections are accepted per turn, so that a connection may wait for several turns.
 */
public class AcceptQueueAge(private val limit: Int) {
    private var accepted = 0
    private var waitingSince: MonotonicTime? = null

    /** Returns the earliest arrival of a connection accepted in a turn whose events arrived since [turnArrival]. */
    public fun accepted(turnArrival: MonotonicTime): MonotonicTime {
        accepted += 1
        return waitingSince ?: turnArrival
    }

    /** Records that no more connections are accepted in the turn whose events arrived since [turnArrival]. */
    public fun turnEnded(turnArrival: MonotonicTime) {
        waitingSince = if (accepted >= limit) waitingSince ?: turnArrival else null
        accepted = 0
    }
}
