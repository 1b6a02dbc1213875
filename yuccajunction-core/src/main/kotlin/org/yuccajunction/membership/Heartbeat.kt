package org.yuccajunction.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.VersionVeto

/**
 * What entries tell each other at every beat: the sender's own state and a bounded number of news about others.
 *
 * @property sender state of the sending entry
 * @property revision the newest configuration that the sender has
 * @property vetoes versions that the sender has seen fail and keeps from its traffic, left out where the receiver is
 * known to have them
 * @property membershipUpdates states of other entries that the receiver may not know yet
 * @property digest hashes of all that the sender knows of entries
 * @property vetoDigest hash of all vetoes that the sender holds
 * @property highestFencingNumber the highest fencing number of any lease that the sender has heard of
 */
@Serializable
public data class Heartbeat(
    public val sender: EntryState,
    public val revision: Revision,
    public val vetoes: List<VersionVeto> = emptyList(),
    @SerialName("rumours") public val membershipUpdates: List<MembershipUpdate> = emptyList(),
    public val digest: MembershipDigest = MembershipDigest(),
    public val vetoDigest: Int = 0,
    public val highestFencingNumber: Long = 0,
)
