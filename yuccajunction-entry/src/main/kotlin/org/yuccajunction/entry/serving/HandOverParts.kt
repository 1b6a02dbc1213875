package org.yuccajunction.entry.serving

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.HandedRecord
import org.yuccajunction.record.HandedStream
import org.yuccajunction.record.RecordAnswer

/** Splits the records and streams that a leaving entry hands over into messages of bounded size. */
internal object HandOverParts {
    private const val PART_LIMIT_BYTES = 524_288
    private const val RECORD_OVERHEAD_BYTES = 256
    private const val STREAM_OVERHEAD_BYTES = 512

    /** Returns the messages in sending order; the last one marks the end of the hand-over. */
    fun of(
        from: EntryIncarnation,
        epoch: Long,
        records: List<HandedRecord>,
        streams: List<HandedStream>,
    ): List<HandOver> {
        val streamParts = split(streams) { it.estimatedBytes() }.map { HandOver(from, streams = it, isLast = false) }
        val recordParts = split(records) { it.estimatedBytes() }.map { HandOver(from, records = it, isLast = false) }
        return streamParts + recordParts + HandOver(from, identityEpoch = epoch, isLast = true)
    }

    private fun <T> split(items: List<T>, bytes: (T) -> Int): List<List<T>> {
        val parts = mutableListOf<MutableList<T>>()
        var remainingBytes = 0
        for (item in items) {
            if (parts.isEmpty() || remainingBytes < bytes(item)) {
                parts += mutableListOf<T>()
                remainingBytes = PART_LIMIT_BYTES
            }
            parts.last() += item
            remainingBytes -= bytes(item)
        }
        return parts
    }

    private fun HandedRecord.estimatedBytes(): Int =
        RECORD_OVERHEAD_BYTES + ((answer as? RecordAnswer.Answered)?.body?.size ?: 0)

    private fun HandedStream.estimatedBytes(): Int =
        STREAM_OVERHEAD_BYTES + body.length + baseText.length + tokens.sumOf { it.length + 2 }
}
