package org.yuccajunction.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.MoveEvidence

/**
 * One entry's state as the entry itself announced it.
 *
 * @property stateVersion grows with every announcement; of two states of one incarnation the larger version is newer
 * @property callerEndpoint address at which the entry serves callers
 * @property peerEndpoint address at which the entry serves peers
 * @property revision the newest configuration that the entry has
 * @property draining whether the entry accepts no new requests because it shuts down
 * @property starting whether the entry can't serve yet: it has no configuration or no usable backend servers
 * @property load open requests divided by the entry's limit, from 0 to 1
 * @property identityEpoch the entry's newest epoch of request identities
 * @property successor the entry that took over this entry's records, null where there is none
 * @property moves the entry's status and counts of the moves that are configured
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
