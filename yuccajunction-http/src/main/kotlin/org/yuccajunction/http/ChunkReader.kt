package org.yuccajunction.http

import io.netty.buffer.ByteBuf

/** Reads a body in chunks up to the line of its last chunk, behind which the trailers stand. */
internal class ChunkReader(private val lines: LineReader) {
    private enum class Part { SIZE, DATA, END }

    private var part = Part.SIZE
    private var missingBytes = 0L

    /** Bytes of chunk lines so far that are out of proportion to the data that came with them. */
    private var excessBytes = 0L

    /** Moves what [buffer] holds of the body to [target]; returns whether the line of the last chunk was read. */
    fun read(buffer: ByteBuf, target: ByteBuf): Boolean {
        while (true) {
            val isPartWhole =
                when (part) {
                    Part.SIZE -> readSize(buffer)
                    Part.DATA -> readData(buffer, target)
                    Part.END -> readEnd(buffer)
                }
            if (!isPartWhole) return false
            if (part == Part.SIZE && missingBytes == 0L) return true
            part = next()
        }
    }

    private fun next(): Part =
        when (part) {
            Part.SIZE -> Part.DATA
            Part.DATA -> Part.END
            Part.END -> Part.SIZE
        }

    private fun readSize(buffer: ByteBuf): Boolean {
        val plainSize = readPlainSize(buffer)
        if (plainSize != null) {
            missingBytes = plainSize.toLong()
            excessBytes = maxOf(0, excessBytes - plainSize)
            return true
        }
        val line = lines.read(buffer, AnswerBounds.MAX_CHUNK_LINE_BYTES) ?: return false
        missingBytes = AnswerGrammar.chunkSize(line)
        excessBytes = maxOf(0, excessBytes + line.length - AnswerBounds.CHUNK_LINE_ALLOWANCE_BYTES - missingBytes)
        if (excessBytes > AnswerBounds.MAX_EXCESS_CHUNK_LINE_BYTES) throw InvalidAnswerException("more lines than data")
        return true
    }

    /**
     * Returns the size in a line of a few digits, as nearly all lines are; null where the line is another or not whole.
     *
     * Servers may send many small chunks, for which a search for each end of line would take too long.
     */
    private fun readPlainSize(buffer: ByteBuf): Int? {
        var index = buffer.readerIndex()
        val end = minOf(buffer.writerIndex() - LINE_END_BYTES, index + PLAIN_SIZE_DIGITS)
        var size = 0
        while (index < end) {
            val digit = AnswerGrammar.hexadecimalDigit(buffer.getByte(index).toInt().toChar())
            if (digit < 0) break
            size = size * AnswerGrammar.HEXADECIMAL + digit
            index += 1
        }
        if (index == buffer.readerIndex() || !hasLineEnd(buffer, index)) return null
        lines.skip(buffer, index + LINE_END_BYTES - buffer.readerIndex())
        return size
    }

    private fun hasLineEnd(buffer: ByteBuf, index: Int): Boolean =
        index + LINE_END_BYTES <= buffer.writerIndex() &&
            buffer.getByte(index) == LineReader.CARRIAGE_RETURN &&
            buffer.getByte(index + 1) == LineReader.LINE_FEED

    private fun readData(buffer: ByteBuf, target: ByteBuf): Boolean {
        val length = minOf(missingBytes, buffer.readableBytes().toLong()).toInt()
        target.writeBytes(buffer, length)
        missingBytes -= length
        return missingBytes == 0L
    }

    private fun readEnd(buffer: ByteBuf): Boolean {
        if (hasLineEnd(buffer, buffer.readerIndex())) {
            lines.skip(buffer, LINE_END_BYTES)
            return true
        }
        // Throws unless the buffer holds no more than the first byte of the end.
        val line = lines.read(buffer, maxBytes = 1) ?: return false
        throw InvalidAnswerException("a chunk that is longer than its size: $line")
    }

    private companion object {
        const val PLAIN_SIZE_DIGITS = 6
        const val LINE_END_BYTES = 2
    }
}
