package org.yuccajunction.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How backend servers are judged and chosen.
 *
 * @property prefillTokensPerMillisecond prompt tokens that an engine reads in a millisecond
 * @property millisPerMillionTokenPairs milliseconds for each million pairs of tokens of a prompt
 * @property runningRequestMillis milliseconds that a request already at an engine adds to a new one's first event
 * @property waitingRequestMillis milliseconds that a request waiting at an engine adds to a new one's first event
 * @property otherZoneMillis milliseconds that a server in another availability zone counts as slower
 * @property rereadMillisPerToken milliseconds that a shared token counts as slower where it must be read again
 * @property silenceTimeout time without a byte from a server after which its requests go elsewhere
 * @property suspicionTime how long a server that can't be reached gets no requests if others can take them
 * @property idleFirstEventMillis milliseconds from a request's arrival at an idle engine to its first event
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
