package org.yuccajunction.routing

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceId

/**
 * Ranks one entry among all entries for each backend server, by rendezvous hashing.
 *
 * The first entries of a server's ranking share the server's limit. Every entry that knows the same entries and servers
 * computes the same ranks. An entry that is added or removed changes only the rankings of the servers that it shares.
 *
 * @param entries every entry that may send requests, [self] included
 */
public class EntryRanking(self: InstanceId, entries: Set<InstanceId>) {
    private val ownHash = RendezvousHash.hash(self.value)
    private val otherHashes = (entries - self).map { RendezvousHash.hash(it.value) }.toLongArray()

    /** Number of entries, this one included. */
    public val size: Int get() = otherHashes.size + 1

    /**
     * Returns this entry's rank at [server], one of [serverCount] servers of a service with a limit of [limit] requests
     * each.
     *
     * The number of sharing entries depends on the configured limit only, never on measured load, so that all entries
     * compute the same number.
     */
    public fun placement(server: BackendServerId, serverCount: Int, limit: Int): ServerPlacement {
        val key = RendezvousHash.hash(server.value)
        val ownScore = RendezvousHash.score(ownHash, key)
        val rank = otherHashes.count { RendezvousHash.score(it, key) > ownScore }
        return ServerPlacement(rank, sharingEntryCount(serverCount, limit))
    }

    private fun sharingEntryCount(serverCount: Int, limit: Int): Int {
        val forCoverage = (SERVERS_PER_ENTRY * size + serverCount - 1) / maxOf(serverCount, 1)
        return maxOf(forCoverage, MIN_ENTRIES_PER_SERVER).coerceAtMost(minOf(size, limit)).coerceAtLeast(1)
    }

    private companion object {
        /** Servers of one service of which an entry has a share on average, where the limits allow it. */
        const val SERVERS_PER_ENTRY = 8

        /** Entries that share one server, so that the server stays in use when one of them is lost. */
        const val MIN_ENTRIES_PER_SERVER = 4
    }
}
