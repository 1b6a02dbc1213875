package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.yuccajunction.control.LogEvent
import org.yuccajunction.forward.CallerLimits
import org.yuccajunction.model.MonotonicTime
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** One caller's connection: reads requests whole, one after the other, and writes their answers in that order. */
internal class CallerConnection(
    private val traffic: Traffic,
    private val limits: CallerLimits,
    private val decoder: CallerRequestDecoder,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val admission = RequestAdmission(traffic)
    private val waiting = ArrayDeque<ReceivedRequest>()
    private var receiving: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var exchange: Exchange? = null
    private var isAnswering = false
    private var isKeptOpen = true
    private var activeAt = traffic.now()
    private var hasPartialRequest = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        traffic.callers += this
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        activeAt = traffic.now()
        if (message.decoderResult().isFailure) return reject(message.decoderResult())
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) content(message)
    }

    private fun begin(request: HttpRequest) {
        receiving = request
        hasPartialRequest = true
        body = Unpooled.compositeBuffer(MAX_BODY_PARTS)
        if (RequestFraming.isAmbiguous(request)) return rejectWith(HttpResponseStatus.BAD_REQUEST, "ambiguous-length")
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun content(content: HttpContent) {
        val request = receiving ?: return
        val parts = body ?: return
        if (parts.readableBytes() + content.content().readableBytes() > limits.bodyBytes) {
            return rejectWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body-too-large")
        }
        if (content.content().isReadable) parts.addComponent(true, content.content().retain())
        if (content !is LastHttpContent) return
        receiving = null
        body = null
        hasPartialRequest = false
        waiting.addLast(ReceivedRequest(request, parts, traffic.now()))
        next()
    }

    private fun next() {
        if (isAnswering || !channel.isActive) return
        val received = waiting.removeFirstOrNull() ?: return
        isAnswering = true
        isKeptOpen = HttpUtil.isKeepAlive(received.head)
        admission.admit(received, this)
    }

    fun begin(exchange: Exchange) {
        this.exchange = exchange
        exchange.start()
    }

    private fun reject(result: DecoderResult) {
        when (result.cause()) {
            is TooLongHttpHeaderException ->
                rejectWith(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers-too-large")
            is TooLongHttpLineException -> rejectWith(HttpResponseStatus.REQUEST_URI_TOO_LONG, "line-too-long")
            else -> rejectWith(HttpResponseStatus.BAD_REQUEST, "malformed")
        }
    }

    /** Refuses a request that can't be read and closes the connection, once earlier answers are written. */
    private fun rejectWith(status: HttpResponseStatus, code: String) {
        traffic.log.write(LogEvent.CALLER_REJECTED) {
            field("status", status.code())
            field("reason", code)
        }
        receiving = null
        body?.release()
        body = null
        channel.config().isAutoRead = false
        if (isAnswering) {
            isKeptOpen = false
            return
        }
        isAnswering = true
        isKeptOpen = false
        answer(status, DefaultHttpHeaders(), problem(code))
    }

    /** Writes a whole answer. */
    fun answer(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, DefaultHttpHeaders())
        if (status != HttpResponseStatus.NO_CONTENT && status != HttpResponseStatus.NOT_MODIFIED) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        finish(response)
    }

    /** Refuses a request that has not run. */
    fun refuse(status: Int, code: String, retryAfter: Duration) {
        val headers = DefaultHttpHeaders()
        val seconds = String.format(Locale.ROOT, "%.3f", retryAfter.toDouble(DurationUnit.SECONDS))
        headers.set(HttpHeaderNames.RETRY_AFTER, seconds)
        answer(HttpResponseStatus.valueOf(status), headers, problem(code))
    }

    /** Ends a request of which no byte was answered. */
    fun fail(status: Int, code: String) {
        answer(HttpResponseStatus.valueOf(status), DefaultHttpHeaders(), problem(code))
    }

    private fun problem(code: String): ByteBuf = Unpooled.copiedBuffer("{\"error\":\"$code\"}", Charsets.UTF_8)

    /** Writes the head of a stream. */
    fun beginStream(head: HttpResponse) {
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        markEnd(head.headers())
        channel.write(head)
    }

    fun writeStreamed(bytes: ByteBuf) {
        channel.write(DefaultHttpContent(bytes))
    }

    fun flush() {
        channel.flush()
    }

    /** Ends a stream as complete. */
    fun endStream() {
        finishWith(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Ends a stream so that it can't look complete. */
    fun breakOff() {
        exchange = null
        channel.flush()
        channel.close()
    }

    private fun finish(response: HttpResponse) {
        markEnd(response.headers())
        finishWith(response)
    }

    private fun markEnd(headers: HttpHeaders) {
        if (traffic.stoppingSince != null) isKeptOpen = false
        if (!isKeptOpen) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finishWith(message: Any) {
        exchange = null
        isAnswering = false
        activeAt = traffic.now()
        val written = channel.writeAndFlush(message)
        if (!isKeptOpen) {
            written.addListener(ChannelFutureListener.CLOSE)
            return
        }
        next()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        traffic.callers -= this
        exchange?.callerLeft()
        exchange = null
        body?.release()
        body = null
        waiting.forEach { it.body.release() }
        waiting.clear()
    }

    @Deprecated("Netty declares it so; the pipeline still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        channel.close()
    }

    /** Closes the connection where the caller takes too long or has been idle for too long. */
    fun sweep(now: MonotonicTime) {
        if (isAnswering || waiting.isNotEmpty()) return
        val headSince = decoder.headSince
        if (headSince != null && now - headSince > limits.headerTimeout) {
            return rejectWith(HttpResponseStatus.REQUEST_TIMEOUT, "too-slow")
        }
        val idle = now - activeAt
        if (hasPartialRequest) {
            if (idle > limits.headerTimeout) rejectWith(HttpResponseStatus.REQUEST_TIMEOUT, "too-slow")
            return
        }
        if (idle > limits.idleTimeout || traffic.isClosing(now) && idle > STOPPING_IDLE) channel.close()
    }

    private companion object {
        const val MAX_BODY_PARTS = 1_024
        val STOPPING_IDLE = Duration.ZERO
    }
}
