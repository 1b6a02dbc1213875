package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/** The orders that a server was given, in order. */
@Serializable
public data class OrderLedger(public val orders: List<OrderRow>)
