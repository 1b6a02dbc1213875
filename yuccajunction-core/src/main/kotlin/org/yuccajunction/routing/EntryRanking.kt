package org.yuccajunction.routing

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceId

/**
 * Places one entry among all entries for each backend server.
 *
 * Every entry that knows the same entries and servers computes the same ranks. An entry that is added or removed
 * changes only the places of which it is one of the holders.
 *
 * @param entries every entry that may send requests, [self] included
 */
public class EntryRanking(self: InstanceId, entries: Set<InstanceId>) {
    private val ownHash = RendezvousHash.hash(self.value)
    private val otherHashes = (entries - self).map { RendezvousHash.hash(it.value) }.toLongArray()

    /** Number of entries, the own one included. */
    public val size: Int get() = otherHashes.size + 1

    /**
     * Returns the place at [server] of a service with [serverCount] servers, each of which bears [limit] requests.
     *
     * The number of holders depends on the configured limit only, never on measured load, so that all entries agree.
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
        /** Servers of one service that an entry holds a share of on average, where the limits allow it. */
        const val SERVERS_PER_ENTRY = 8

        /** Entries that share one server, so that the loss of one leaves it in use. */
        const val MIN_ENTRIES_PER_SERVER = 4
    }
}
