package org.yuccajunction.testing.proxy

import kotlinx.serialization.Serializable

/**
 * Faults of one route of the fault proxy, in effect until a test sets others.
 *
 * @property delayMillis delay in milliseconds of all data, in each direction
 * @property jitterMillis upper bound in milliseconds of an additional random delay; the order of the data is kept
 * @property refuseNew whether new connections are closed immediately
 * @property resetNew whether new connections are accepted and reset immediately
 * @property hangNew whether new connections are accepted but never connected to the target
 * @property dropToTarget whether data for the target is dropped
 * @property dropToClient whether data for the client is dropped
 * @property bytesPerSecond maximum bytes per second in each direction, null for no limit
 * @property cutAfterBytesToTarget number of bytes to the target after which connections are cut, null for never
 * @property cutAfterBytesToClient number of bytes to the client after which connections are cut, null for never
 * @property cutByReset whether a cut ends the connection with a TCP reset rather than a close
 * @property silentAfterCut whether a cut leaves the connection open and drops all further data instead
 * @property remainingCuts number of connections still to be cut at their byte limit, null for all
 */
@Serializable
public data class ProxyFaults(
    public val delayMillis: Double = 0.0,
    public val jitterMillis: Double = 0.0,
    public val refuseNew: Boolean = false,
    public val hangNew: Boolean = false,
    public val dropToTarget: Boolean = false,
    public val dropToClient: Boolean = false,
    public val bytesPerSecond: Int? = null,
    public val cutAfterBytesToTarget: Long? = null,
    public val cutAfterBytesToClient: Long? = null,
    public val cutByReset: Boolean = false,
    public val silentAfterCut: Boolean = false,
    public val remainingCuts: Int? = null,
    public val resetNew: Boolean = false,
)
