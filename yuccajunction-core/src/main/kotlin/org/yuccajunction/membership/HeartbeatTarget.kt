package org.yuccajunction.membership

import org.yuccajunction.model.Endpoint

/** The address of a heartbeat, with the record of the [peer] there; the record is null for an unknown peer. */
internal data class HeartbeatTarget(val endpoint: Endpoint, val peer: PeerRecord?)
