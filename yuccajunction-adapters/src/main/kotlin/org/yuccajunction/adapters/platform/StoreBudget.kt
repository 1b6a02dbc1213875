package org.yuccajunction.adapters.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How many calls one entry may make to the object API.
 *
 * @property callsPerSecond calls that may be made in a second in the long run; a waiting watch is one call
 * @property burst calls that may be made at once after a quiet time
 * @property consecutiveFailureLimit failures in a row after which calls are held back
 * @property initialBackoff time for which calls are held back at first, doubled with each further failure
 * @property maxBackoff longest time for which calls are held back
 */
public data class StoreBudget(
    public val callsPerSecond: Double = 20.0,
    public val burst: Double = 100.0,
    public val consecutiveFailureLimit: Int = 3,
    public val initialBackoff: Duration = 100.milliseconds,
    public val maxBackoff: Duration = 5.seconds,
)
