package org.yuccajunction.gateway

/** Holds the request that [caller] has sent next and that waits for its admission. */
internal class PendingRequest(val received: ReceivedRequest, val caller: CallerConnection)
