package org.yuccajunction.forward

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The pace of the events of one stream, as far as one attempt has brought it.
 *
 * Tells a slow stream, whose events have come in similar intervals before, from one that has stalled, though its server
 * still sends single bytes or answers other requests.
 */
public class StreamProgress {
    private var lastAt: MonotonicTime? = null
    private var longestInterval = Duration.ZERO

    /** Time until which the caller did not take what had been read, null if it always did. */
    public var heldUpUntil: MonotonicTime? = null
        private set

    /** Forgets the events of the former attempt. */
    public fun restart() {
        lastAt = null
        longestInterval = Duration.ZERO
        heldUpUntil = null
    }

    /** Records a whole event at [now]. */
    public fun eventReceived(now: MonotonicTime) {
        lastAt?.let { longestInterval = maxOf(longestInterval, now - maxOf(it, heldUpUntil ?: it)) }
        lastAt = now
    }

    /** Records that at [now] the caller does not take what was read, so that reading has stopped. */
    public fun heldUp(now: MonotonicTime) {
        heldUpUntil = now
    }

    /** Returns whether the stream may still go on at its own pace at [now], though its server has sent nothing. */
    public fun isWithinOwnPace(now: MonotonicTime): Boolean =
        quietTime(now)?.let { it < longestInterval * SLOW_INTERVALS } == true

    /** Returns whether the stream has brought no event for far longer than between any two events before. */
    public fun isStalled(now: MonotonicTime): Boolean =
        quietTime(now)?.let { it >= maxOf(LEAST_STALL, longestInterval * STALLED_INTERVALS) } == true

    private fun quietTime(now: MonotonicTime): Duration? = lastAt?.let { now - maxOf(it, heldUpUntil ?: it) }

    private companion object {
        /** An engine whose memory is short pauses streams for a few intervals. */
        const val SLOW_INTERVALS = 3
        const val STALLED_INTERVALS = 6

        /** Longer than a pause of a server's process that is usual, such as one for garbage collection. */
        val LEAST_STALL = 2.seconds
    }
}
