package org.yuccajunction.routing

/**
 * The number of concurrent requests that one backend server takes from all entries together.
 *
 * @property warm the limit after the server's cold start
 * @property cold the limit during the server's cold start
 */
public data class ServerLimits(public val warm: Int, public val cold: Int)
