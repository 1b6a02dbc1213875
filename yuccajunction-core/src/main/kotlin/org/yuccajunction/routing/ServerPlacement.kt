package org.yuccajunction.routing

/**
 * This entry's place among the entries that may use one backend server.
 *
 * @property rank how many entries come before this one for the server; 0 is the first
 * @property sharingEntryCount how many entries, from the first on, share the server's limit
 */
public data class ServerPlacement(public val rank: Int, public val sharingEntryCount: Int) {
    /** Whether this entry alone may use the server while it is in cold start. */
    public val ownsColdStart: Boolean get() = rank == 0

    /** Returns this entry's part of [limit]; the parts of all entries add up to [limit]. */
    public fun share(limit: Int): Int {
        if (rank >= sharingEntryCount) return 0
        val remainder = if (rank < limit % sharingEntryCount) 1 else 0
        return limit / sharingEntryCount + remainder
    }
}
