package org.yuccajunction.testing.proxy

import kotlinx.serialization.Serializable

/** The port of a route and the connections through it. */
@Serializable
public data class RouteReport(public val port: Int, public val accepted: Int, public val open: Int)
