package org.yuccajunction.lease

import kotlinx.serialization.Serializable
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.FencingNumber

/**
 * The content of a lease object in the object API.
 *
 * @property holder the entry that holds the lease, null once it was given up
 * @property renewals grows with each renewal, so that others see that the holder lives without comparing clocks
 */
@Serializable
public data class LeaseRecord(
    public val name: String,
    public val holder: EntryIncarnation?,
    public val fencingNumber: FencingNumber,
    public val renewals: Long = 0,
)
