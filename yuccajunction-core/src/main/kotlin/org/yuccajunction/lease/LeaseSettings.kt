package org.yuccajunction.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The times by which leases are held and taken over.
 *
 * @property duration time without a renewal after which a lease may be taken over
 * @property usableDuration time from before a renewal was sent until its holder stops acting on it; a new holder waits
 * as long before it begins
 * @property renewalInterval time between two renewals
 * @property orderTimeout longest time that an order given under a lease may be under way; a new holder waits it out
 * @property pollingInterval time between two readings of a lease by an entry that may take it over
 * @property retryInterval time before a call that failed is repeated
 * @property candidateCount number of entries that try to hold one lease
 */
public data class LeaseSettings(
    public val duration: Duration = 5.seconds,
    public val usableDuration: Duration = 3_500.milliseconds,
    public val renewalInterval: Duration = 1_500.milliseconds,
    public val orderTimeout: Duration = 3.seconds,
    public val pollingInterval: Duration = 1_500.milliseconds,
    public val retryInterval: Duration = 500.milliseconds,
    public val candidateCount: Int = 3,
) {
    init {
        require(renewalInterval < usableDuration) {
            "renewal after the lease is no longer usable: $renewalInterval, $usableDuration"
        }
        require(usableDuration < duration) { "usable when it may be taken over: $usableDuration, $duration" }
    }
}
