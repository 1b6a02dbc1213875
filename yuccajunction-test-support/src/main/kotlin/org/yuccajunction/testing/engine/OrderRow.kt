package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable
import org.yuccajunction.port.ServerOrder

/** One order as it came, and whether it was taken. */
@Serializable
public data class OrderRow(
    public val order: ServerOrder,
    public val fencingNumber: Long,
    public val taken: Boolean,
    public val receivedAtMillis: Long,
)
