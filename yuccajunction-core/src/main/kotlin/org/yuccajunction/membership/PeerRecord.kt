package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime

/**
 * What this entry knows of one other entry.
 *
 * @property updatedAt when this entry last heard of a newer [state], by its own clock
 * @property suspected whether it was silent for longer than the suspicion timeout; steers traffic, grants nothing
 * @property lastContactAt when a message last came from the peer itself, null before the first
 * @property digest what the peer knew of all entries when it last told, null before the first message
 * @property vetoDigest hash of the vetoes that the peer held when it last told
 */
public data class PeerRecord(
    public val state: EntryState,
    public val updatedAt: MonotonicTime,
    public val suspected: Boolean = false,
    public val lastContactAt: MonotonicTime? = null,
    public val digest: MembershipDigest? = null,
    public val vetoDigest: Int? = null,
) {
    /** What this entry tells others of the peer. */
    public val update: MembershipUpdate get() = MembershipUpdate(state, suspected)
}
