package org.yuccajunction.adapters.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import org.yuccajunction.http.HeldBytes

/**
 * Counts the memory that the body of one answer takes, and bounds it.
 *
 * A body is held until it is whole, one that [isStream] only up to the end of its last line.
 */
internal class BodyBounds(private val held: HeldBytes, private val isStream: Boolean) {
    private var countedBytes = 0L
    private var isReleased = false

    /** Counts [content], which comes when [unreadBytes] have not been read; returns whether it can be held. */
    @Synchronized
    fun add(content: ByteBuf, unreadBytes: Long): Boolean {
        countedBytes = bytesAfterLineEnd(content)?.toLong() ?: (countedBytes + content.readableBytes())
        if (isReleased || countedBytes > MAX_BODY_BYTES) return false
        val readableBytes = if (isStream) unreadBytes + content.readableBytes() else 0
        return held.set((countedBytes + readableBytes).toInt())
    }

    /** Returns the length of the line that [content] ends in, null where that line or a whole body goes on. */
    private fun bytesAfterLineEnd(content: ByteBuf): Int? {
        if (!isStream) return null
        val lineFeed = ByteBufUtil.indexOf(content, content.writerIndex(), content.readerIndex(), LINE_FEED)
        return if (lineFeed < 0) null else content.writerIndex() - lineFeed - 1
    }

    /** Gives the memory back, once the answer is not read any further; may come while a part is counted. */
    @Synchronized
    fun release() {
        isReleased = true
        held.set(0)
    }

    private companion object {
        const val MAX_BODY_BYTES = 8 * 1_048_576
        const val LINE_FEED = '\n'.code.toByte()
    }
}
