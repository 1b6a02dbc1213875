package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable
import org.yuccajunction.port.ServerOrder

/** An order that a backend server received; [taken] states whether the server accepted the order. */
@Serializable
public data class OrderRow(
    public val order: ServerOrder,
    public val fencingNumber: Long,
    public val taken: Boolean,
    public val receivedAtMillis: Long,
)
