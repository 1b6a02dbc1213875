package org.yuccajunction.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.MoveEvidence

/**
 * One entry's state as it told it itself.
 *
 * @property stateVersion grows with every change that the entry tells of; the larger one of the same incarnation is
 * newer
 * @property draining whether the entry takes no new work
 * @property starting whether the entry can't serve yet: it has no configuration or no usable backend servers
 * @property load open requests over the entry's limit, from 0 to 1
 * @property identityEpoch the newest identity epoch of the entry
 * @property successor the entry that took over this one's records, null while there is none
 * @property moves what the entry has seen of the moves of versions under way
 */
@Serializable
public data class EntryState(
    public val entry: EntryIncarnation,
    @SerialName("beat") public val stateVersion: Long,
    public val availabilityZone: AvailabilityZone,
    public val callerEndpoint: Endpoint,
    public val peerEndpoint: Endpoint,
    public val revision: Revision,
    @SerialName("leaving") public val draining: Boolean = false,
    public val starting: Boolean = false,
    public val load: Double = 0.0,
    public val identityEpoch: Long = 0,
    public val successor: EntryIncarnation? = null,
    public val moves: List<MoveEvidence> = emptyList(),
)
