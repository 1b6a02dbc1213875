package org.yuccajunction.membership

import org.yuccajunction.model.Endpoint

/** A heartbeat with the peer address [to] which it is sent. */
public data class AddressedHeartbeat(public val to: Endpoint, public val heartbeat: Heartbeat)
