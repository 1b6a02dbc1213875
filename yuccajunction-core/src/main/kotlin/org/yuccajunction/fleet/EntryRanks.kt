package org.yuccajunction.fleet

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.routing.RendezvousHash

/** Ranks the live entries for each server by rendezvous hashing, so that all entries compute the same order. */
internal class EntryRanks(private val entry: String) {
    private val ownHash = RendezvousHash.hash(entry)
    private var rankedEntries = emptyList<String>()
    private var otherHashes = emptyList<Long>()

    /** Returns the number of [entries] that rank before this one for [server]. */
    fun rank(server: BackendServerId, entries: List<String>): Int {
        if (entries !== rankedEntries) {
            rankedEntries = entries
            otherHashes = entries.filter { it != entry }.map(RendezvousHash::hash)
        }
        val key = RendezvousHash.hash(server.value)
        val own = RendezvousHash.score(ownHash, key)
        return otherHashes.count { RendezvousHash.score(it, key) > own }
    }
}
