package org.yuccajunction.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How an entry follows the configuration.
 *
 * @property retry time before a call to the object API that failed is repeated, doubled with each further failure
 * @property watchTime longest time that one watch waits
 * @property pullTimeout time after which a pull that was not answered may be repeated
 * @property peerTimeout how long an entry without a configuration waits for a peer before it trusts the object API
 */
public data class ConfigurationSettings(
    public val retry: Duration = 250.milliseconds,
    public val watchTime: Duration = 10.seconds,
    public val pullTimeout: Duration = 4.seconds,
    public val peerTimeout: Duration = 3.seconds,
)
