package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Splits a stream of server-sent events into whole events, so that a partial event is never passed on.
 *
 * @property maxEventBytes size limit of one event
 */
internal class EventSplitter(private val maxEventBytes: Int = MAX_EVENT_BYTES) {
    private val pending = Unpooled.buffer(INITIAL_BYTES)
    private var scannedBytes = 0

    /** Whether the buffer holds bytes of an event whose end has not arrived. */
    val hasPartialEvent: Boolean get() = pending.isReadable

    /** Number of bytes of an event whose end has not arrived. */
    val partialEventBytes: Int get() = pending.readableBytes()

    /** Whether the partial event exceeds [maxEventBytes]. */
    val isEventTooLarge: Boolean get() = pending.readableBytes() > maxEventBytes

    /** Appends [bytes] to the buffer and calls [onEvent] with each event that is now whole. */
    fun add(bytes: ByteBuf, onEvent: (ServerSentEvent) -> Unit) {
        pending.writeBytes(bytes)
        var end = firstEventLength()
        while (end > 0) {
            onEvent(ServerSentEvent(eventId(end), pending.readBytes(end)))
            scannedBytes = 0
            end = firstEventLength()
        }
        pending.discardSomeReadBytes()
    }

    /** Returns the length in bytes of the first whole event, 0 where the buffer holds none. */
    private fun firstEventLength(): Int {
        val start = pending.readerIndex()
        var index = start + maxOf(0, scannedBytes - MAX_DELIMITER_BYTES)
        while (index < pending.writerIndex()) {
            if (pending.getByte(index) == NEWLINE && isBlankLineAfter(index)) return blankLineEnd(index) - start
            index += 1
        }
        scannedBytes = pending.readableBytes()
        return 0
    }

    private fun isBlankLineAfter(index: Int): Boolean = blankLineEnd(index) > 0

    private fun blankLineEnd(index: Int): Int {
        val next = index + 1
        if (next < pending.writerIndex() && pending.getByte(next) == NEWLINE) return next + 1
        val isCarriageReturn = next + 1 < pending.writerIndex() && pending.getByte(next) == CARRIAGE_RETURN
        return if (isCarriageReturn && pending.getByte(next + 1) == NEWLINE) next + 2 else 0
    }

    private fun eventId(length: Int): String? {
        val text = pending.toString(pending.readerIndex(), length, Charsets.UTF_8)
        val line = text.lineSequence().firstOrNull { it.startsWith(ID_FIELD) } ?: return null
        return line.substring(ID_FIELD.length).trim()
    }

    private companion object {
        const val INITIAL_BYTES = 512
        const val MAX_EVENT_BYTES = 1_048_576
        const val MAX_DELIMITER_BYTES = 3
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
