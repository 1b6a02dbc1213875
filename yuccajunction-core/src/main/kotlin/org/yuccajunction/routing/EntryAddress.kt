package org.yuccajunction.routing

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation

/**
 * Where one entry takes calls.
 *
 * @property load open requests over the entry's limit, from 0 to 1
 * @property identityEpoch the newest identity epoch that the entry announced
 */
public data class EntryAddress(
    public val entry: EntryIncarnation,
    public val availabilityZone: AvailabilityZone,
    public val callerEndpoint: Endpoint,
    public val peerEndpoint: Endpoint,
    public val load: Double = 0.0,
    public val identityEpoch: Long = 0,
)
