package org.yuccajunction.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of how an entry follows the configuration in the object API and at its peers.
 *
 * @property firstRetryDelay wait before a failed call to the object API is repeated, doubled with each further failure
 * @property maxWatchTime longest time that one watch call waits for a change
 * @property pullTimeout time after which an unanswered pull from a peer may be repeated
 * @property peerWaitTimeout how long an entry without a configuration waits for a newer one from a peer before it
 * accepts that of the object API
 */
public data class ConfigurationSettings(
    public val firstRetryDelay: Duration = 250.milliseconds,
    public val maxWatchTime: Duration = 10.seconds,
    public val pullTimeout: Duration = 4.seconds,
    public val peerWaitTimeout: Duration = 3.seconds,
)
