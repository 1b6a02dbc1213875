package org.yuccajunction.membership

import org.yuccajunction.model.Endpoint

/** Where a heartbeat goes, and what is known of the [peer] there; null where nothing is. */
internal data class HeartbeatTarget(val endpoint: Endpoint, val peer: PeerRecord?)
