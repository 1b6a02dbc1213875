package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime

/**
 * The record that this entry keeps of one peer.
 *
 * @property updatedAt when [state] or [suspected] last changed, by this entry's clock
 * @property suspected whether the peer was silent for longer than the suspicion timeout; a suspicion only steers
 * traffic and grants no rights
 * @property lastContactAt when this entry last received a message from the peer itself, null before the first
 * @property digest hashes of the entry states that the peer knew at its last message, null before the first
 * @property vetoDigest hash of the vetoes that the peer had at its last message, null before the first
 */
public data class PeerRecord(
    public val state: EntryState,
    public val updatedAt: MonotonicTime,
    public val suspected: Boolean = false,
    public val lastContactAt: MonotonicTime? = null,
    public val digest: MembershipDigest? = null,
    public val vetoDigest: Int? = null,
) {
    /** The membership update by which this entry passes on the peer's state. */
    public val update: MembershipUpdate get() = MembershipUpdate(state, suspected)
}
