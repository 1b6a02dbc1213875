package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration

/**
 * Estimates how long the events that an event loop handles have waited in the sockets.
 *
 * A turn of the loop polls the sockets, handles what is ready and runs the queued tasks. What a poll finds ready at
 * once has arrived since the previous poll. What ends a poll that had to block has not waited.
 */
public class EventLoopDelay {
    private var awakeSince: MonotonicTime? = null
    private var delayAtPoll = Duration.ZERO

    /** Number of polls so far. */
    public var turn: Long = 0
        private set

    /** Records a poll at [now]; [isBlocking] says that nothing was ready, so that the loop waits for the next event. */
    public fun polled(now: MonotonicTime, isBlocking: Boolean) {
        turn += 1
        delayAtPoll = awakeSince?.takeIf { !isBlocking }?.let { now - it } ?: Duration.ZERO
        awakeSince = now.takeIf { !isBlocking }
    }

    /** Records that the loop is handling an event at [now]; only the first call after a blocking poll has an effect. */
    public fun awoke(now: MonotonicTime) {
        if (awakeSince == null) awakeSince = now
    }

    /** Returns the earliest time at which an event that is handled at [now] may have arrived. */
    public fun earliestArrival(now: MonotonicTime): MonotonicTime = (awakeSince ?: now) - delayAtPoll

    /** Returns how late the loop is at [now]. */
    public fun delay(now: MonotonicTime): Duration = now - earliestArrival(now)
}
