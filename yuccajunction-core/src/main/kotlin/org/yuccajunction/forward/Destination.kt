package org.yuccajunction.forward

import org.yuccajunction.model.ServiceName

/** A service to which a route sends a part of the requests, with a [weight] relative to the other destinations. */
public data class Destination(public val service: ServiceName, public val weight: Double = 1.0) {
    init {
        require(weight >= 0.0) { "weight of destination $service is negative: $weight" }
    }
}
