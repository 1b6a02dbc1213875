package org.yuccajunction.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How an entry follows the configuration.
 *
 * @property firstRetryDelay wait before a failed call to the object API is repeated, doubled with each further failure
 * @property maxWatchTime longest time that one watch waits
 * @property pullTimeout time after which a pull that was not answered may be repeated
 * @property peerWaitTimeout how long an entry without a configuration waits for a peer before it trusts the object API
 */
public data class ConfigurationSettings(
    public val firstRetryDelay: Duration = 250.milliseconds,
    public val maxWatchTime: Duration = 10.seconds,
    public val pullTimeout: Duration = 4.seconds,
    public val peerWaitTimeout: Duration = 3.seconds,
)
