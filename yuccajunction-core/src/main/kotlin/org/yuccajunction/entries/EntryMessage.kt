package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The gossip message that an entry sends to peers a few times a second.
 *
 * @property heartbeat state of the sender
 * @property heartbeatCounters newest heartbeat counters that the sender knows of other entries
 * @property membershipUpdates relayed heartbeats of entries that the receiver may not know yet
 * @property usage counts of requests whose execution the sender started, by window number and workspace; sent only to
 *   [PeerTable.usageReceivers]
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
