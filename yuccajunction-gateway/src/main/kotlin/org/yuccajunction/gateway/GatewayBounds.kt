package org.yuccajunction.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds that hold over all entries of a deployment.
 *
 * @property maxConfirmationAge time after which a key that the store no longer confirms must not be accepted
 * @property stopGracePeriod time from the signal to stop until the process is ended
 * @property drainDelay time after which a server that leaves must get no more requests
 * @property retryBudgetRatio retries that a service may get for each request
 * @property retryBudgetBase retries that a service may get in [retryBudgetWindow] beside the ratio
 * @property usageWindow length of a window of usage
 */
public data class GatewayBounds(
    public val maxConfirmationAge: Duration = 5.seconds,
    public val stopGracePeriod: Duration = 8.seconds,
    public val drainDelay: Duration = 2.seconds,
    public val retryBudgetRatio: Double = 0.2,
    public val retryBudgetBase: Double = 50.0,
    public val retryBudgetWindow: Duration = 10.seconds,
    public val usageWindow: Duration = 5.seconds,
) {
    init {
        require(retryBudgetRatio >= 0.0) { "retry ratio is negative: $retryBudgetRatio" }
        require(usageWindow.isPositive()) { "usage window is not positive: $usageWindow" }
    }
}
