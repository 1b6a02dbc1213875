package org.yuccajunction.http

import io.netty.buffer.ByteBuf

/** Takes whole lines out of a buffer, and remembers how far it has searched for the end of the next one. */
internal class LineReader {
    private var searchedBytes = 0

    /**
     * Returns the next line of [buffer] without its end, null where its end has not arrived.
     *
     * Throws [InvalidAnswerException] where the line has more than [maxBytes] bytes or does not end with CR and LF.
     */
    fun read(buffer: ByteBuf, maxBytes: Int): String? {
        val start = buffer.readerIndex()
        val lineFeed = buffer.indexOf(start + searchedBytes, buffer.writerIndex(), LINE_FEED)
        val seen = if (lineFeed < 0) buffer.readableBytes() else lineFeed - start
        if (seen > maxBytes) throw InvalidAnswerException("a line of more than $maxBytes bytes")
        searchedBytes = if (lineFeed < 0) seen else 0
        if (lineFeed < 0) return null
        val length = lineFeed - start - 1
        if (length < 0 ||
            buffer.getByte(lineFeed - 1) != CARRIAGE_RETURN
        ) {
            throw InvalidAnswerException("a line without CR")
        }
        val line = buffer.toString(start, length, Charsets.ISO_8859_1)
        buffer.readerIndex(lineFeed + 1)
        return line
    }

    /** Takes [bytes] bytes of [buffer], which the caller has found to be a line with its end. */
    fun skip(buffer: ByteBuf, bytes: Int) {
        searchedBytes = 0
        buffer.skipBytes(bytes)
    }

    companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
