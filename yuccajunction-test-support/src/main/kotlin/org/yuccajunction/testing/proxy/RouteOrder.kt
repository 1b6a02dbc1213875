package org.yuccajunction.testing.proxy

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Endpoint

/** A route to be opened; connections are closed immediately while [target] is null. */
@Serializable
public data class RouteOrder(public val port: Int = 0, public val target: Endpoint? = null)
