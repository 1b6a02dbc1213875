package org.yuccajunction.testing.proxy

import kotlinx.serialization.Serializable

/**
 * What a route of the fault proxy does to bytes and connections until it is told otherwise.
 *
 * @property delayMillis time that each piece of data is held back, in each direction
 * @property jitterMillis upper bound of a further, random delay; order is kept
 * @property refuseNew whether new connections are closed at once
 * @property hangNew whether new connections are accepted and lead nowhere
 * @property dropToTarget whether data on its way to the target is swallowed
 * @property dropToClient whether data on its way to the client is swallowed
 * @property bytesPerSecond the most bytes that pass in a second in each direction, null for no limit
 * @property cutAfterBytesToTarget connections end after exactly this number of bytes to the target
 * @property cutAfterBytesToClient connections end after exactly this number of bytes to the client
 * @property cutByReset whether a connection that is cut ends with a reset rather than a close
 * @property silentAfterCut whether a connection that would be cut goes silent for good instead
 * @property remainingCuts number of connections that are cut after a number of bytes, null for all
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
)
