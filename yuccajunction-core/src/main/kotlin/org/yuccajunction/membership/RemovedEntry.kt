package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime

/** Remembers an entry that was forgotten, so that others' older news don't bring it back. */
public data class RemovedEntry(public val incarnation: Long, public val beat: Long, public val at: MonotonicTime) {
    /** Returns whether [rumour] tells nothing newer than what was forgotten. */
    public fun covers(rumour: Rumour): Boolean {
        val entry = rumour.state.entry
        return entry.incarnation < incarnation || (entry.incarnation == incarnation && rumour.state.beat <= beat)
    }
}
