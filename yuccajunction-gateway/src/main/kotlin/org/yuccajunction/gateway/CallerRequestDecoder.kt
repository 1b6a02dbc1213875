package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration

/** Decodes callers' requests and records when the first bytes of an incomplete request head arrived. */
internal class CallerRequestDecoder(config: HttpDecoderConfig, private val now: () -> MonotonicTime) :
    HttpRequestDecoder(config) {
    private var isInBody = false

    /** When the first byte of a request head arrived that is still incomplete, null where there is no such head. */
    private var partialHeadSince: MonotonicTime? = null

    /** Returns whether a request head has been incomplete at [now] for longer than [timeout]. */
    fun isHeadLate(now: MonotonicTime, timeout: Duration): Boolean =
        partialHeadSince.let { it != null && now - it > timeout }

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
