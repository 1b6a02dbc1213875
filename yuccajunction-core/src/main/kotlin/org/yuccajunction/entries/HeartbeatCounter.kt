package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.routing.RendezvousHash

/**
 * A proof that a run of an entry was alive: the number of a heartbeat that somebody heard of it.
 *
 * @property incarnationHash hash of the entry's name and of the start of its run
 * @property sequence number of the heartbeat
 */
@Serializable
public data class HeartbeatCounter(@SerialName("run") public val incarnationHash: Int, public val sequence: Long) {
    public companion object {
        /** Returns the hash that stands for the run of the sender of [heartbeat]. */
        public fun incarnationHashOf(heartbeat: EntryHeartbeat): Int =
            RendezvousHash.hash("${heartbeat.name}/${heartbeat.incarnation}").toInt() and Int.MAX_VALUE
    }
}
