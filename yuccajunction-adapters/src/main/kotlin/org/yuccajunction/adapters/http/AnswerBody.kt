package org.yuccajunction.adapters.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.io.Buffer
import kotlinx.io.Source
import org.yuccajunction.http.InvalidAnswerException
import java.io.IOException

/**
 * The body of one answer, of which no more is taken from the connection than is read.
 *
 * @param bounds counts what is held of the body, and says how much may be
 * @param endsWithConnection whether only the end of the connection ends the body
 */
internal class AnswerBody(
    private val inbox: AnswerInbox,
    private val bounds: BodyBounds,
    private val endsWithConnection: Boolean,
) : ByteReadChannel {
    private val buffer = Buffer()
    private var isEnded = false

    @Volatile
    override var closedCause: Throwable? = null
        private set

    override val isClosedForRead: Boolean get() = closedCause != null || isEnded && buffer.exhausted()

    @InternalAPI
    override val readBuffer: Source
        get() {
            closedCause?.let { throw it }
            return buffer
        }

    override suspend fun awaitContent(min: Int): Boolean {
        closedCause?.let { throw it }
        try {
            while (buffer.size < min && !isEnded) take(inbox.receive() as HttpContent)
        } catch (failure: IOException) {
            cancel(failure)
            throw failure
        }
        return buffer.size >= min
    }

    private fun take(content: HttpContent) {
        try {
            if (!bounds.add(content.content(), unreadBytes = buffer.size)) {
                throw InvalidAnswerException("the answer is too large to be held")
            }
            buffer.write(bytesOf(content.content()))
        } finally {
            ReferenceCountUtil.release(content)
        }
        if (content is LastHttpContent) end()
    }

    private fun bytesOf(content: ByteBuf): ByteArray = ByteBufUtil.getBytes(content)

    private fun end() {
        if (endsWithConnection && !inbox.isEndProven) throw IOException("the connection broke off the answer")
        isEnded = true
    }

    override fun cancel(cause: Throwable?) {
        if (closedCause == null) closedCause = cause ?: IOException("the answer is not read any further")
        inbox.cancel()
    }
}
