package org.yuccajunction.entries

import kotlinx.serialization.Serializable

/**
 * What an entry tells its peers of itself.
 *
 * @property name name of its instance
 * @property run Unix time of its start in milliseconds; a later run has the larger number
 * @property sequence grows with each beat of a run
 * @property callerAddress where callers connect to it, `host:port`
 * @property peerAddress where it takes beats, `host:port`
 * @property zone its availability zone
 * @property isReady whether callers should be sent to it
 * @property revision the newest configuration that it has in force
 * @property dutyNumber its fencing number while it holds the duties, 0 otherwise
 * @property openRequests its requests that are at backend servers, by service
 * @property admitted what it has admitted so far, by workspace
 */
@Serializable
public data class EntryBeat(
    public val name: String,
    public val run: Long,
    public val sequence: Long,
    public val callerAddress: String,
    public val peerAddress: String,
    public val zone: String,
    public val isReady: Boolean = false,
    public val revision: Long = 0,
    public val dutyNumber: Long = 0,
    public val openRequests: Map<String, Int> = emptyMap(),
    public val admitted: Map<String, Double> = emptyMap(),
)
