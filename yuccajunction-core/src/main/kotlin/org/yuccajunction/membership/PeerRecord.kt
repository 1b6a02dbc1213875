package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime

/**
 * What this entry knows of one other entry.
 *
 * @property heardAt when this entry last heard of a newer [state], by its own clock
 * @property suspected whether it was silent for longer than the suspicion timeout; steers traffic, grants nothing
 */
public data class PeerRecord(
    public val state: EntryState,
    public val heardAt: MonotonicTime,
    public val suspected: Boolean = false,
)
