package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime

/** An entry whose record was removed, kept so that older updates from peers don't restore the record. */
public data class RemovedEntry(
    public val incarnation: Long,
    public val stateVersion: Long,
    public val removedAt: MonotonicTime,
) {
    /** Returns whether [update] is no newer than the removed record. */
    public fun covers(update: MembershipUpdate): Boolean {
        val entry = update.state.entry
        return entry.incarnation < incarnation ||
            (entry.incarnation == incarnation && update.state.stateVersion <= stateVersion)
    }
}
