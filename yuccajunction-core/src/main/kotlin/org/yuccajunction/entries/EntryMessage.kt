package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What an entry tells another a few times a second.
 *
 * @property heartbeat what the sender tells of itself
 * @property heartbeatCounters the newest proofs of life that the sender has of other entries
 * @property membershipUpdates heartbeats of entries that the receiver may not know yet
 * @property usage the sender's counts of requests that began to run, by window and workspace;
 *   only to [PeerTable.usageReceivers]
 */
@Serializable
public data class EntryMessage(
    @SerialName("beat")
    public val heartbeat: EntryHeartbeat,
    @SerialName("signs")
    public val heartbeatCounters: List<HeartbeatCounter> = emptyList(),
    @SerialName("news")
    public val membershipUpdates: List<EntryHeartbeat> = emptyList(),
    public val usage: Map<Long, Map<String, Int>> = emptyMap(),
)
