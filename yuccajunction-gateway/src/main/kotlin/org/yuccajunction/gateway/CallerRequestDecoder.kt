package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import org.yuccajunction.model.MonotonicTime

/** Decodes callers' requests and knows since when the headers of a request have been on their way. */
internal class CallerRequestDecoder(config: HttpDecoderConfig, private val now: () -> MonotonicTime) :
    HttpRequestDecoder(config) {
    private var isInBody = false

    /** When the first byte came of a request whose headers are not whole yet, null where there is none. */
    var partialHeadSince: MonotonicTime? = null
        private set

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>) {
        val decodedBefore = messages.size
        super.decode(context, buffer, messages)
        for (message in messages.drop(decodedBefore)) {
            if (message is HttpRequest) isInBody = true
            if (message is LastHttpContent) isInBody = false
            partialHeadSince = null
        }
        if (!isInBody && messages.size == decodedBefore && partialHeadSince == null) partialHeadSince = now()
    }
}
