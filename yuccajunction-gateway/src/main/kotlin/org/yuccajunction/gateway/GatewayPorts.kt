package org.yuccajunction.gateway

import org.yuccajunction.port.DutyCalls
import org.yuccajunction.port.FleetSource
import org.yuccajunction.port.ObjectStore

/** What a gateway needs from the platform it runs on. */
public class GatewayPorts(
    public val wire: WireProtocol,
    public val source: FleetSource,
    public val store: ObjectStore,
    public val duties: DutyCalls?,
)
