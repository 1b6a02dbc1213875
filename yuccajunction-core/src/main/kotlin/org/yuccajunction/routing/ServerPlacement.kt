package org.yuccajunction.routing

/**
 * This entry's rank among all entries for one backend server.
 *
 * @property rank number of entries that rank before this one for the server
 * @property sharingEntryCount number of entries, from rank 0 on, that share the server's limit
 */
public data class ServerPlacement(public val rank: Int, public val sharingEntryCount: Int) {
    /** Whether this entry alone may use the server while it is in cold start. */
    public val ownsColdStart: Boolean get() = rank == 0

    /** Returns this entry's share of [limit]; the shares of all entries add up to [limit]. */
    public fun share(limit: Int): Int {
        if (rank >= sharingEntryCount) return 0
        val remainder = if (rank < limit % sharingEntryCount) 1 else 0
        return limit / sharingEntryCount + remainder
    }
}
