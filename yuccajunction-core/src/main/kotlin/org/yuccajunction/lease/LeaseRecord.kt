package org.yuccajunction.lease

import kotlinx.serialization.Serializable
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.FencingNumber

/**
 * The content of a lease object in the object API.
 *
 * @property holder the entry that holds the lease; null once the holder released it
 * @property fencingNumber the number that the holder sends with its orders; it grows with each change of the holder
 * @property renewals changes with each write, so that other entries see the renewal without comparing clocks
 */
@Serializable
public data class LeaseRecord(
    public val name: String,
    public val holder: EntryIncarnation?,
    public val fencingNumber: FencingNumber,
    public val renewals: Long = 0,
)
