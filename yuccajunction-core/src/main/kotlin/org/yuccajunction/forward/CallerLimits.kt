package org.yuccajunction.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What callers may send and how long they may take.
 *
 * @property headerBytes largest request line and headers
 * @property bodyBytes largest request body
 * @property headerTimeout longest time from a request's first byte to the end of its headers
 * @property idleTimeout longest time that a connection may stay without a request
 */
public data class CallerLimits(
    public val headerBytes: Int = 16_384,
    public val bodyBytes: Int = 4_194_304,
    public val headerTimeout: Duration = 3.seconds,
    public val idleTimeout: Duration = 15.seconds,
)
