package org.yuccajunction.forward

import org.yuccajunction.model.ServiceName
import kotlin.time.Duration

/**
 * A service whose backend servers take forwarded requests.
 *
 * @property maxConnections connections that one server accepts from all callers together
 * @property coldDuration how long a server stays cold after its start
 * @property coldRequestsPerSecond requests that a cold server bears in a second; 0 for no bound
 * @property engine shape of its model engines, null for an application
 * @property scaling bounds for orders of servers, null where none can be ordered
 */
public data class ForwardService(
    public val name: ServiceName,
    public val maxConnections: Int,
    public val coldDuration: Duration = Duration.ZERO,
    public val coldRequestsPerSecond: Double = 0.0,
    public val engine: EngineCapacity? = null,
    public val scaling: ScalingRule? = null,
)
