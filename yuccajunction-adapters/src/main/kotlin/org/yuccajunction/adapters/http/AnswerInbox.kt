package org.yuccajunction.adapters.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import org.yuccajunction.http.AnswerDecoder
import org.yuccajunction.http.InvalidAnswerException
import org.yuccajunction.http.reset
import java.io.IOException
import kotlinx.coroutines.channels.Channel as Queue

/**
 * Hands the messages of one answer to the coroutine that reads them.
 *
 * The connection is read only when a message is awaited, so that the queue holds what one read has brought at most.
 */
internal class AnswerInbox(private val channel: Channel, private val decoder: AnswerDecoder) :
    SimpleChannelInboundHandler<HttpObject>(false) {
    private val messages = Queue<HttpObject>(Queue.UNLIMITED) { ReferenceCountUtil.release(it) }

    @Volatile
    private var isRequestWritten = false

    /** Whether the end of the connection proves that all that came before it is the whole answer. */
    val isEndProven: Boolean get() = decoder.isInputEnded && isRequestWritten

    /** Returns the next message; throws an [IOException] where the connection ends before. */
    suspend fun receive(): HttpObject {
        val received = messages.tryReceive()
        if (received.isSuccess) return received.getOrThrow().also(::check)
        channel.read()
        return messages.receive().also(::check)
    }

    private fun check(message: HttpObject) {
        if (message.decoderResult().isSuccess) return
        ReferenceCountUtil.release(message)
        throw InvalidAnswerException("the server sent no answer: ${message.decoderResult().cause().message}")
    }

    /** Drops what has not been received, and what has not arrived of the request. */
    fun cancel() {
        channel.reset()
        messages.cancel()
    }

    /** Sends [request]; where it breaks off, the end of the connection proves nothing. */
    fun send(request: FullHttpRequest) {
        channel.writeAndFlush(request).addListener {
            isRequestWritten = it.isSuccess
            if (!it.isSuccess) close(it.cause())
        }
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (messages.trySend(message).isFailure) ReferenceCountUtil.release(message)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === ChannelInputShutdownEvent.INSTANCE) close(null)
    }

    override fun channelInactive(context: ChannelHandlerContext) = close(null)

    @Deprecated("Netty deprecates this method, but its pipeline still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = close(cause)

    private fun close(cause: Throwable?) {
        messages.close(IOException("the connection ended before the answer", cause))
        channel.close()
    }
}
