package org.yuccajunction.gateway

import org.yuccajunction.port.DutyCalls
import org.yuccajunction.port.FleetSource
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.RolloutStatusCalls

/**
 * Holds the adapters to the platform that a gateway runs on.
 *
 * @property wire reads and writes the headers of callers and backend servers
 * @property source decodes the objects in [store]
 * @property store the platform's object store
 * @property rolloutStatuses writes how far ordered moves of services are
 * @property duties the platform's calls for the duties, null where this entry performs no duties
 */
public class GatewayPorts(
    public val wire: WireProtocol,
    public val source: FleetSource,
    public val store: ObjectStore,
    public val rolloutStatuses: RolloutStatusCalls,
    public val duties: DutyCalls?,
)
