package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.routing.RendezvousHash

/**
 * The highest heartbeat sequence that an entry knows of another entry's incarnation, relayed by gossip.
 *
 * A sequence higher than the receiver's shows that the incarnation was alive since the receiver last heard of it.
 *
 * @property incarnationHash hash of the entry's name and incarnation, see [incarnationHashOf]
 * @property sequence [EntryHeartbeat.sequence] of the newest known heartbeat
 */
@Serializable
public data class HeartbeatCounter(@SerialName("run") public val incarnationHash: Int, public val sequence: Long) {
    public companion object {
        /** Returns the hash that identifies the incarnation of the sender of [heartbeat]. */
        public fun incarnationHashOf(heartbeat: EntryHeartbeat): Int =
            RendezvousHash.hash("${heartbeat.name}/${heartbeat.incarnation}").toInt() and Int.MAX_VALUE
    }
}
