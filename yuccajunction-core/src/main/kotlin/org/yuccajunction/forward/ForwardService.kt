package org.yuccajunction.forward

import org.yuccajunction.model.ServiceName
import kotlin.time.Duration

/**
 * A service to whose backend servers an entry forwards requests.
 *
 * @property maxConnections connections that one server accepts, over all entries together
 * @property coldDuration time for which a server stays cold after its start
 * @property coldRequestsPerSecond requests that a cold server can take in a second; 0 for no limit
 * @property engine capacity of each model engine, null for an application
 * @property scaling bounds for the number of servers, null if the number is fixed
 */
public data class ForwardService(
    public val name: ServiceName,
    public val maxConnections: Int,
    public val coldDuration: Duration = Duration.ZERO,
    public val coldRequestsPerSecond: Double = 0.0,
    public val engine: EngineCapacity? = null,
    public val scaling: ScalingRule? = null,
)
