package org.yuccajunction.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The times by which leases are held and taken over.
 *
 * @property duration time without a renewal after which a lease may be taken over
 * @property usable time from before a renewal was sent until its holder stops acting on it; a new holder waits as long
 * before it begins
 * @property renewal time between two renewals
 * @property orderTimeout longest time that an order given under a lease may be under way; a new holder waits it out
 * @property polling time between two readings of a lease by an entry that may take it over
 * @property retry time before a call that failed is repeated
 * @property candidates number of entries that try to hold one lease
 */
public data class LeaseSettings(
    public val duration: Duration = 5.seconds,
    public val usable: Duration = 3_500.milliseconds,
    public val renewal: Duration = 1_500.milliseconds,
    public val orderTimeout: Duration = 3.seconds,
    public val polling: Duration = 1_500.milliseconds,
    public val retry: Duration = 500.milliseconds,
    public val candidates: Int = 3,
) {
    init {
        require(renewal < usable) { "renewal after the lease is no longer usable: $renewal, $usable" }
        require(usable < duration) { "usable when it may be taken over: $usable, $duration" }
    }
}
