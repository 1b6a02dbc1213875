package org.yuccajunction.routing

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation

/**
 * The addresses at which one entry serves callers and peers, with its load.
 *
 * @property load open requests divided by the entry's limit, from 0 to 1
 * @property identityEpoch the newest epoch of request identities that the entry announced
 */
public data class EntryAddress(
    public val entry: EntryIncarnation,
    public val availabilityZone: AvailabilityZone,
    public val callerEndpoint: Endpoint,
    public val peerEndpoint: Endpoint,
    public val load: Double = 0.0,
    public val identityEpoch: Long = 0,
)
