package org.yuccajunction.forward

import org.yuccajunction.model.ServiceName

/** A service that a route may send requests to, with its [weight] among the route's destinations. */
public data class Destination(public val service: ServiceName, public val weight: Double = 1.0) {
    init {
        require(weight >= 0.0) { "weight is negative: $weight" }
    }
}
