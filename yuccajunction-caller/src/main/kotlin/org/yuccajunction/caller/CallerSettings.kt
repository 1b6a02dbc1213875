package org.yuccajunction.caller

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How a [CallerClient] reaches the system.
 *
 * @property seeds entries to ask for addresses before any are known
 * @property workspaceKey key of the caller's workspace
 * @property availabilityZone where the caller runs, null where it does not know
 * @property requestTimeout how long one request is tried at all
 * @property idleTimeout how long a connection may say nothing before the request goes on at another one
 */
public data class CallerSettings(
    public val seeds: List<Endpoint>,
    public val workspaceKey: String,
    public val availabilityZone: AvailabilityZone? = null,
    public val requestTimeout: Duration = 60.seconds,
    public val idleTimeout: Duration = 10.seconds,
) {
    init {
        require(seeds.isNotEmpty()) { "no entry to ask for addresses" }
    }
}
