package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime

/** Remembers an entry that was forgotten, so that others' older news don't bring it back. */
public data class RemovedEntry(
    public val incarnation: Long,
    public val stateVersion: Long,
    public val removedAt: MonotonicTime,
) {
    /** Returns whether [update] tells nothing newer than what was forgotten. */
    public fun covers(update: MembershipUpdate): Boolean {
        val entry = update.state.entry
        return entry.incarnation < incarnation ||
            (entry.incarnation == incarnation && update.state.stateVersion <= stateVersion)
    }
}
