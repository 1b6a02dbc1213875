package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.EntryIncarnation

/**
 * What a leaving entry hands to its successor.
 *
 * @property records every at-most-once record of [from], which takes no first runs any more
 * @property identityEpoch the newest identity epoch of [from]
 */
@Serializable
public data class HandOver(
    public val from: EntryIncarnation,
    public val records: List<HandedRecord> = emptyList(),
    public val streams: List<HandedStream> = emptyList(),
    public val identityEpoch: Long = 0,
)
