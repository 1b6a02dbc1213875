package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.EntryIncarnation

/**
 * The state that a draining entry hands over to its successor, in one or more parts.
 *
 * @property from incarnation of the draining entry
 * @property records at-most-once records of [from], which starts no first executions any more
 * @property streams open streams that the successor continues
 * @property isLast whether this part and the earlier ones hold all records of [from]
 * @property identityEpoch newest epoch that [from] has put into a request identity
 */
@Serializable
public data class HandOver(
    public val from: EntryIncarnation,
    public val records: List<HandedRecord> = emptyList(),
    public val streams: List<HandedStream> = emptyList(),
    public val identityEpoch: Long = 0,
    public val isLast: Boolean = true,
)
