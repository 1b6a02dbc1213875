package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Builds the answers that callers get, as HTTP frames them. */
internal object CallerAnswers {
    /** Returns the whole answer of [status], [headers] and [body]; without the body if it [isToHead]. */
    fun whole(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf, isToHead: Boolean): FullHttpResponse {
        if (isToHead) body.release()
        val sent = if (isToHead) Unpooled.EMPTY_BUFFER else body
        if (!isToHead && status != HttpResponseStatus.NO_CONTENT && status != HttpResponseStatus.NOT_MODIFIED) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        return DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, sent, headers, DefaultHttpHeaders())
    }

    /** Returns the headers of a rejection, after which the request may be sent again in [retryAfter]. */
    fun rejectionHeaders(retryAfter: Duration): HttpHeaders {
        val seconds = String.format(Locale.ROOT, "%.3f", retryAfter.toDouble(DurationUnit.SECONDS))
        return DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, seconds)
    }

    /** Returns the body of an answer that names the error [code]. */
    fun errorBody(code: String): ByteBuf = Unpooled.copiedBuffer("{\"error\":\"$code\"}", Charsets.UTF_8)
}
