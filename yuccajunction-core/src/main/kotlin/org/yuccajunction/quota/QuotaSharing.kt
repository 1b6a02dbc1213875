package org.yuccajunction.quota

import org.yuccajunction.entries.PeerTable

/**
 * How the entries divide a quota.
 *
 * @property entries number of entries that share the quota, at least 1
 * @property isStarting whether this entry started too recently to have received the usage of all peers
 */
internal class QuotaSharing(val entries: Int, val isStarting: Boolean) {
    val isSmallFleet: Boolean get() = entries <= PeerTable.MAX_HEARTBEAT_TARGETS + 1

    /** Mean time until a peer has received what this entry admits. */
    val reportDelaySeconds: Double
        get() = REPORT_SECONDS + ROUND_SECONDS * ((entries - 1.0) / PeerTable.MAX_HEARTBEAT_TARGETS)

    private companion object {
        const val REPORT_SECONDS = 1.0

        /** Half of the time between two heartbeats. */
        const val ROUND_SECONDS = 0.25
    }
}
