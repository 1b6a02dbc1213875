package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime

/**
 * Estimates how long accepted connections have waited in the accept queue of a listening socket.
 *
 * At most [limit] connections are accepted per turn of [loop], so that a connection may wait for several turns.
 */
public class AcceptQueueAge(private val loop: EventLoopDelay, private val limit: Int) {
    private var accepted = 0
    private var waitingSince: MonotonicTime? = null
    private var readInTurn = Long.MIN_VALUE

    /**
     * Whether connections may wait that were not accepted in the last turn.
     *
     * A queue that is not empty is read in each turn, so one that was not read in the last turn is empty.
     */
    public val mayHaveMore: Boolean get() = waitingSince != null && loop.turn - readInTurn <= 1

    /** Returns the earliest arrival of a connection that is accepted at [now]. */
    public fun accepted(now: MonotonicTime): MonotonicTime {
        accepted += 1
        return waitingSince?.takeIf { mayHaveMore } ?: loop.earliestArrival(now)
    }

    /** Records at [now] that no more connections are accepted in this turn. */
    public fun turnEnded(now: MonotonicTime) {
        val since = waitingSince?.takeIf { mayHaveMore } ?: loop.earliestArrival(now)
        waitingSince = since.takeIf { accepted >= limit }
        readInTurn = loop.turn
        accepted = 0
    }
}
