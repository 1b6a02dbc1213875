package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What an entry tells its peers of itself.
 *
 * @property name name of its instance
 * @property incarnation Unix time of its start in milliseconds; a later run has the larger number
 * @property sequence grows with each heartbeat of a run
 * @property callerAddress where callers connect to it, `host:port`
 * @property peerAddress where it takes heartbeats, `host:port`
 * @property availabilityZone its availability zone
 * @property isReady whether callers should be sent to it
 * @property revision the newest configuration that it has in force
 * @property dutyFencingNumber its fencing number while it holds the duties, 0 otherwise
 * @property openRequests its requests that are at backend servers, by service
 * @property admitted what it has admitted so far, by workspace
 */
@Serializable
public data class EntryHeartbeat(
    public val name: String,
    @SerialName("run")
    public val incarnation: Long,
    public val sequence: Long,
    public val callerAddress: String,
    public val peerAddress: String,
    @SerialName("zone")
    public val availabilityZone: String,
    public val isReady: Boolean = false,
    public val revision: Long = 0,
    @SerialName("dutyNumber")
    public val dutyFencingNumber: Long = 0,
    public val openRequests: Map<String, Int> = emptyMap(),
    public val admitted: Map<String, Double> = emptyMap(),
)
