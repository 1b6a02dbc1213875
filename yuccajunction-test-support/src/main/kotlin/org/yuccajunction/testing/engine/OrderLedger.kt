package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/** The orders that a backend server received, oldest first. */
@Serializable
public data class OrderLedger(public val orders: List<OrderRow>)
