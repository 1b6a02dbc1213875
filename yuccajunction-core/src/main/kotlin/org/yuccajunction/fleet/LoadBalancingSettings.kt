package org.yuccajunction.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Parameters of the latency prediction and of the health checks by which a [LoadBalancer] chooses servers.
 *
 * @property prefillTokensPerMillisecond prompt tokens that a model engine processes in a millisecond
 * @property millisPerMillionTokenPairs milliseconds that a prompt takes for each million pairs of its tokens
 * @property runningRequestMillis milliseconds by which each request at an engine delays the first event of a new one
 * @property waitingRequestMillis milliseconds by which each waiting request at an engine delays the first event of a
 *   new one
 * @property otherZoneMillis milliseconds that are added to the cost of a server in another availability zone
 * @property rereadMillisPerToken milliseconds that are added to the cost of a server for each shared token that is
 *   not in its cache
 * @property silenceTimeout time without a byte from a server after which its requests go to another server
 * @property suspicionTime time for which an unreachable or silent server is suspected; meanwhile it gets requests
 *   only if no other server can take them
 * @property idleFirstEventMillis milliseconds from the arrival of a request at an idle engine to the first event of the
 *   answer
 */
public data class LoadBalancingSettings(
    public val prefillTokensPerMillisecond: Double = 140.0,
    public val millisPerMillionTokenPairs: Double = 0.295,
    public val runningRequestMillis: Double = 3.0,
    public val waitingRequestMillis: Double = 40.0,
    public val otherZoneMillis: Double = 2.0,
    public val rereadMillisPerToken: Double = 0.06,
    public val silenceTimeout: Duration = 800.milliseconds,
    public val suspicionTime: Duration = 2.seconds,
    public val idleFirstEventMillis: Double = 55.0,
)
