package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred
import org.yuccajunction.http.AnswerDecoder
import org.yuccajunction.http.HeldBytes

/**
 * Collects the answers on one connection to the platform.
 *
 * What is no answer, or is larger than [maxBytes], leaves the call unanswered: the platform may have carried it out.
 */
internal class PlatformAnswerHandler(
    private val decoder: AnswerDecoder,
    private val held: HeldBytes,
    private val maxBytes: Int,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var call: CompletableDeferred<HttpReply>? = null
    private var head: HttpResponse? = null
    private var body: ByteBuf = Unpooled.EMPTY_BUFFER
    private var interimAnswers = 0

    /** Lets the next answer complete [call]. */
    fun begin(call: CompletableDeferred<HttpReply>) {
        this.call = call
        body = Unpooled.buffer(0)
        interimAnswers = 0
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (call == null) return fail(context, "an answer to no call")
        if (message.decoderResult().isFailure) return fail(context, message.decoderResult().cause().toString())
        if (message is HttpResponse) beginAnswer(context, message)
        if (message is HttpContent && head != null) addContent(context, message)
    }

    private fun beginAnswer(context: ChannelHandlerContext, response: HttpResponse) {
        val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        head = response.takeUnless { isInterim }
        if (isInterim) interimAnswers += 1
        if (interimAnswers > MAX_INTERIM_ANSWERS) fail(context, "too many interim answers")
    }

    private fun addContent(context: ChannelHandlerContext, content: HttpContent) {
        val bytes = body.readableBytes() + content.content().readableBytes()
        if (bytes > maxBytes || !held.set(bytes)) return fail(context, "an answer of more bytes than can be held")
        body.writeBytes(content.content())
        if (content is LastHttpContent) finish(context)
    }

    private fun finish(context: ChannelHandlerContext) {
        val response = checkNotNull(head) { "content comes behind a head" }
        if (!HttpUtil.isKeepAlive(response)) context.close()
        val headers = response.headers().associate { (name, value) -> name.lowercase() to value }
        end(HttpReply.Answered(response.status().code(), body.toString(Charsets.UTF_8), headers))
    }

    private fun fail(context: ChannelHandlerContext, detail: String) {
        end(HttpReply.Unanswered(detail))
        context.close()
    }

    private fun end(reply: HttpReply) {
        val waiting = call
        call = null
        head = null
        body = Unpooled.EMPTY_BUFFER
        held.set(0)
        waiting?.complete(reply)
    }

    /** Closes an idle connection on which a part of an answer stands before the answer to the next call. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (call == null && decoder.hasPartialHead) context.close()
        super.channelReadComplete(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) =
        end(HttpReply.Unanswered("the connection was closed before the answer"))

    @Deprecated("Netty deprecates this method, but its pipeline still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
        fail(context, "the connection failed before the answer: ${cause.message}")

    private companion object {
        const val MAX_INTERIM_ANSWERS = 16
    }
}
