package org.yuccajunction.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How backend servers are judged and chosen.
 *
 * @property promptTokensPerMillisecond prompt tokens that an engine reads in a millisecond
 * @property pairCostPerMillion milliseconds for each million pairs of tokens of a prompt
 * @property neighbourCost milliseconds that a request already at an engine adds to a new one's first event
 * @property waitingCost milliseconds that a request waiting at an engine adds to a new one's first event
 * @property otherZoneCost milliseconds that a server in another availability zone counts as slower
 * @property rereadCost milliseconds that a shared token counts as slower where it must be read again
 * @property silence time without a byte from a server after which its requests go elsewhere
 * @property suspicion how long a server that can't be reached gets no requests if others can take them
 * @property firstEventTime milliseconds from a request's arrival at an idle engine to its first event
 */
public data class FleetSettings(
    public val promptTokensPerMillisecond: Double = 140.0,
    public val pairCostPerMillion: Double = 0.295,
    public val neighbourCost: Double = 3.0,
    public val waitingCost: Double = 40.0,
    public val otherZoneCost: Double = 2.0,
    public val rereadCost: Double = 0.06,
    public val silence: Duration = 800.milliseconds,
    public val suspicion: Duration = 2.seconds,
    public val firstEventTime: Double = 55.0,
)
