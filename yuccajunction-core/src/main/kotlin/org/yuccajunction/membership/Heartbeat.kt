package org.yuccajunction.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.VersionVeto

/**
 * The message that entries exchange periodically: the sender's own state and a bounded number of membership updates.
 *
 * @property sender state of the sending entry
 * @property revision the newest configuration that the sender has
 * @property vetoes a bounded number of the sender's vetoes against versions, empty where the receiver has all of them
 * @property membershipUpdates states of other entries that the receiver may not know yet
 * @property digest hashes of all entry states that the sender knows
 * @property vetoDigest hash of all vetoes that the sender has
 * @property highestFencingNumber the highest fencing number of any lease that the sender knows
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
