package org.yuccajunction.adapters.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the calls of one entry to the object API.
 *
 * @property callsPerSecond refill rate of the token bucket; a waiting watch takes one token
 * @property burst capacity of the token bucket, in calls
 * @property consecutiveFailureLimit number of consecutive failures at which calls begin to be refused for a backoff
 * @property initialBackoff first backoff, before jitter; it doubles with each further failure
 * @property maxBackoff longest backoff, before jitter
 */
public data class StoreBudget(
    public val callsPerSecond: Double = 20.0,
    public val burst: Double = 100.0,
    public val consecutiveFailureLimit: Int = 3,
    public val initialBackoff: Duration = 100.milliseconds,
    public val maxBackoff: Duration = 5.seconds,
)
