package org.yuccajunction.caller

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [CallerClient].
 *
 * @property seeds entries that are asked for the addresses of all entries at first
 * @property workspaceKey key of the caller's workspace
 * @property availabilityZone availability zone of the caller; null if unknown
 * @property requestTimeout time after which a request isn't retried any more
 * @property idleTimeout longest time without a line of a stream, or for the whole answer of an application; then the
 *   request is retried
 */
public data class CallerSettings(
    public val seeds: List<Endpoint>,
    public val workspaceKey: String,
    public val availabilityZone: AvailabilityZone? = null,
    public val requestTimeout: Duration = 60.seconds,
    public val idleTimeout: Duration = 10.seconds,
) {
    init {
        require(seeds.isNotEmpty()) { "seeds must name at least one entry" }
    }
}
