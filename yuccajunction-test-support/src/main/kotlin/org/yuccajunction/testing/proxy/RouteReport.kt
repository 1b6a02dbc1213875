package org.yuccajunction.testing.proxy

import kotlinx.serialization.Serializable

/** Port of a route and its numbers of [accepted] and [open] connections. */
@Serializable
public data class RouteReport(public val port: Int, public val accepted: Int, public val open: Int)
