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
        val line = lines.read(buffer, AnswerBounds.MAX_CHUNK_LINE_BYTES) ?: return false
        missingBytes = AnswerGrammar.chunkSize(line)
        excessBytes = maxOf(0, excessBytes + line.length - AnswerBounds.CHUNK_LINE_ALLOWANCE_BYTES - missingBytes)
        if (excessBytes > AnswerBounds.MAX_EXCESS_CHUNK_LINE_BYTES) throw InvalidAnswerException("more lines than data")
        return true
    }

    private fun readData(buffer: ByteBuf, target: ByteBuf): Boolean {
        val length = minOf(missingBytes, buffer.readableBytes().toLong()).toInt()
        target.writeBytes(buffer, length)
        missingBytes -= length
        return missingBytes == 0L
    }

    private fun readEnd(buffer: ByteBuf): Boolean {
        val line = lines.read(buffer, maxBytes = 1) ?: return false
        if (line.isNotEmpty()) throw InvalidAnswerException("a chunk that is longer than its size")
        return true
    }
}
