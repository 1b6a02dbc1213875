package org.yuccajunction.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds that hold over all entries of a deployment.
 *
 * @property keyLifetime time after which a key that the store no longer confirms must not be accepted
 * @property stopGrace time from the signal to stop until the process is ended
 * @property leaveDelay time after which a server that leaves must get no more requests
 * @property retryRatio retries that a service may get for each request
 * @property retryBase retries that a service may get in [retryWindow] beside the ratio
 * @property usageWindow length of a window of usage
 */
public data class GatewayBounds(
    public val keyLifetime: Duration = 5.seconds,
    public val stopGrace: Duration = 8.seconds,
    public val leaveDelay: Duration = 2.seconds,
    public val retryRatio: Double = 0.2,
    public val retryBase: Double = 50.0,
    public val retryWindow: Duration = 10.seconds,
    public val usageWindow: Duration = 5.seconds,
) {
    init {
        require(retryRatio >= 0.0) { "retry ratio is negative: $retryRatio" }
        require(usageWindow.isPositive()) { "usage window is not positive: $usageWindow" }
    }
}
