package org.yuccajunction.gateway

import org.yuccajunction.quota.QuotaTolerance
import org.yuccajunction.rollout.ExposureLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the limits that the platform sets for all entries together.
 *
 * @property maxConfirmationAge time without a confirmation of the configuration after which no API key may be accepted
 * @property stopGracePeriod time from the signal to stop until the platform kills the process
 * @property drainDelay time after which a draining backend server must not get new requests
 * @property retryBudgetRatio retries that each request to a service adds to the service's retry budget
 * @property retryBudgetBase retries of each service per [retryBudgetWindow] that need no requests, at all entries
 * together
 * @property quotaTolerance how far all entries together may exceed the quota of a workspace
 * @property exposure limit of the requests that a version on trial gets
 * @property usageWindow length of the windows in which requests are counted for usage reports
 */
public data class GatewayBounds(
    public val maxConfirmationAge: Duration = 5.seconds,
    public val stopGracePeriod: Duration = 8.seconds,
    public val drainDelay: Duration = 2.seconds,
    public val retryBudgetRatio: Double = 0.2,
    public val retryBudgetBase: Double = 50.0,
    public val retryBudgetWindow: Duration = 10.seconds,
    public val quotaTolerance: QuotaTolerance = QuotaTolerance(),
    public val usageWindow: Duration = 5.seconds,
    public val exposure: ExposureLimit = ExposureLimit(),
) {
    init {
        require(retryBudgetRatio >= 0.0) { "retryBudgetRatio must not be negative, but is $retryBudgetRatio" }
        require(usageWindow.isPositive()) { "usageWindow must be positive, but is $usageWindow" }
    }
}
