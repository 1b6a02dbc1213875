package org.yuccajunction.rollout

/**
 * Limits the requests that a version on trial gets from all entries together, until the time limit of its rollout.
 *
 * @property share fraction of the requests to the service
 * @property slack requests beyond that fraction
 */
public data class ExposureLimit(public val share: Double = 0.1, public val slack: Double = 50.0) {
    init {
        require(share in 0.0..1.0) { "share must be between 0 and 1, but is $share" }
        require(slack >= 0.0) { "slack must not be negative, but is $slack" }
    }
}
