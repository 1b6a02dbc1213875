package org.yuccajunction.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Parameters of the choice of servers by a [LoadBalancer] that do not depend on what the servers are.
 *
 * @property otherZoneMillis milliseconds that are added to the cost of a server in another availability zone
 * @property silenceTimeout shortest time without a byte from a server after which its requests go to another server;
 *   the timeout is longer for a service whose first events usually take longer
 * @property suspicionTime time for which an unreachable or silent server is suspected; meanwhile it gets requests
 *   only if no other server can take them
 */
public data class LoadBalancingSettings(
    public val otherZoneMillis: Double = 2.0,
    public val silenceTimeout: Duration = 800.milliseconds,
    public val suspicionTime: Duration = 2.seconds,
)
