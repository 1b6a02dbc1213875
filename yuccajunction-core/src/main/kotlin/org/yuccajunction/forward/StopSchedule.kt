package org.yuccajunction.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * When an entry that stops takes and ends requests, as times after the signal to stop.
 *
 * Callers learn within seconds that the entry stops, so that longer grace periods stretch no time but that for open
 * requests; shorter ones shorten all times in proportion.
 *
 * @param gracePeriod time from the signal until the platform kills the process
 */
public class StopSchedule(gracePeriod: Duration) {
    init {
        require(gracePeriod.isPositive()) { "gracePeriod must be positive, but is $gracePeriod" }
    }

    /** Time for which requests that arrive are still taken. */
    public val takesRequestsFor: Duration = minOf(gracePeriod * TAKING_FRACTION, LONGEST_TAKING)

    /** Least time for which the entry listens, so that callers that know nothing of the stop get a rejection. */
    public val listensFor: Duration = minOf(gracePeriod * LISTENING_FRACTION, LONGEST_LISTENING)

    /** Time after which requests that are still open are ended. */
    public val endsRequestsAfter: Duration = gracePeriod - minOf(gracePeriod * ENDING_FRACTION, LONGEST_ENDING)

    /** Time after which the process exits, though callers may not have read their last answers. */
    public val exitsAfter: Duration = gracePeriod - minOf(gracePeriod * EXIT_FRACTION, LONGEST_EXIT)

    private companion object {
        const val TAKING_FRACTION = 0.25
        const val LISTENING_FRACTION = 0.375
        const val ENDING_FRACTION = 0.5
        const val EXIT_FRACTION = 0.3
        val LONGEST_TAKING = 2.seconds
        val LONGEST_LISTENING = 3.seconds
        val LONGEST_ENDING = 450.milliseconds
        val LONGEST_EXIT = 250.milliseconds
    }
}
