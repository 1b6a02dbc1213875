package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.EntryIncarnation

/**
 * What a leaving entry hands to its successor, in one or more parts.
 *
 * @property records at-most-once records of [from], which takes no first runs any more
 * @property isLast whether all records of [from] have been handed with this part and those before it
 * @property identityEpoch the newest identity epoch of [from]
 */
@Serializable
public data class HandOver(
    public val from: EntryIncarnation,
    public val records: List<HandedRecord> = emptyList(),
    public val streams: List<HandedStream> = emptyList(),
    public val identityEpoch: Long = 0,
    public val isLast: Boolean = true,
)
