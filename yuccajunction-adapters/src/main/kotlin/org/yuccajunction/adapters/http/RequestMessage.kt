package org.yuccajunction.adapters.http

import io.ktor.client.engine.mergeHeaders
import io.ktor.client.request.HttpRequestData
import io.ktor.http.HttpHeaders
import io.ktor.http.content.OutgoingContent
import io.ktor.http.fullPath
import io.ktor.http.hostWithPort
import io.ktor.utils.io.InternalAPI
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/** Translates requests of the client into messages of the codec. */
internal object RequestMessage {
    /** Returns [data] as one message; the connection ends after its answer. */
    @OptIn(InternalAPI::class)
    fun of(data: HttpRequestData): FullHttpRequest {
        val body = bodyOf(data.body)
        val method = HttpMethod.valueOf(data.method.value)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, data.url.fullPath, body)
        mergeHeaders(data.headers, data.body) { name, value -> message.headers().add(name, value) }
        message.headers().set(HttpHeaders.Host, data.url.hostWithPort)
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (body.isReadable) message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        return message
    }

    private fun bodyOf(content: OutgoingContent): ByteBuf =
        when (content) {
            is OutgoingContent.NoContent -> Unpooled.EMPTY_BUFFER
            is OutgoingContent.ByteArrayContent -> Unpooled.wrappedBuffer(content.bytes())
            is OutgoingContent.ContentWrapper -> bodyOf(content.delegate())
            else -> throw IllegalArgumentException("a request body of ${content::class.simpleName} is not supported")
        }
}
