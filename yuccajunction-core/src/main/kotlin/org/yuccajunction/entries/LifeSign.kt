package org.yuccajunction.entries

import kotlinx.serialization.Serializable
import org.yuccajunction.routing.RendezvousHash

/**
 * A proof that a run of an entry was alive: the number of a beat that somebody heard of it.
 *
 * @property run hash of the entry's name and of the start of its run
 * @property sequence number of the beat
 */
@Serializable
public data class LifeSign(public val run: Int, public val sequence: Long) {
    public companion object {
        /** Returns the hash that stands for the run of the sender of [beat]. */
        public fun runOf(beat: EntryBeat): Int =
            RendezvousHash.hash("${beat.name}/${beat.run}").toInt() and Int.MAX_VALUE
    }
}
