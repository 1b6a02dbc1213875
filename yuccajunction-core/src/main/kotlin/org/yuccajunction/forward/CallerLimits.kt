package org.yuccajunction.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the size and the time of requests from callers.
 *
 * @property headerBytes greatest size of the request line and the headers in bytes
 * @property bodyBytes greatest size of a request body in bytes
 * @property headerTimeout longest time from the first byte of a request to the end of the headers
 * @property idleTimeout longest time that a connection may stay open without a request
 */
public data class CallerLimits(
    public val headerBytes: Int = 16_384,
    public val bodyBytes: Int = 4_194_304,
    public val headerTimeout: Duration = 3.seconds,
    public val idleTimeout: Duration = 15.seconds,
)
