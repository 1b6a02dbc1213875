package org.yuccajunction.membership

import org.yuccajunction.model.Endpoint

/** A heartbeat and the peer that it goes to. */
public data class AddressedHeartbeat(public val to: Endpoint, public val heartbeat: Heartbeat)
