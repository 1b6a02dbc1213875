package org.yuccajunction.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Durations and counts by which entries hold leases and take them over.
 *
 * @property duration time without a renewal after which another entry may take the lease over
 * @property usableDuration time for which a holder acts on a lease, from the moment at which it sent the last renewal;
 * part of the delay before a new holder acts
 * @property renewalInterval time between two renewals
 * @property orderTimeout longest time that an order under a lease may be in flight; part of the delay before a new
 * holder acts
 * @property pollingInterval time between two reads of a lease by an entry that may take it over
 * @property retryInterval time after which a failed call is repeated
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
            "renewalInterval $renewalInterval must be shorter than usableDuration $usableDuration"
        }
        require(usableDuration < duration) { "usableDuration $usableDuration must be shorter than duration $duration" }
    }
}
