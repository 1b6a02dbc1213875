package org.yuccajunction.testing.proxy

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Endpoint

/** A route to be opened; without a target its connections are refused until one is set. */
@Serializable
public data class RouteOrder(public val port: Int = 0, public val target: Endpoint? = null)
