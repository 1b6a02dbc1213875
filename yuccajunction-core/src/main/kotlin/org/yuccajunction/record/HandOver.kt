package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.EntryIncarnation

/** What a leaving entry hands to its successor. */
@Serializable
public data class HandOver(
    public val from: EntryIncarnation,
    public val records: List<HandedRecord> = emptyList(),
    public val streams: List<HandedStream> = emptyList(),
)
