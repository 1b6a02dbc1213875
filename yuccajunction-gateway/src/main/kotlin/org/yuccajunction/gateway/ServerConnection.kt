package org.yuccajunction.gateway

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/** One connection to a backend server, with at most one attempt on it. */
internal class ServerConnection(
    private val traffic: Traffic,
    val server: BackendServer,
    private val decoder: ServerAnswerDecoder,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var attempt: ServerAttempt? = null
    private var answer: AnswerReader? = null
    private var isWritten = true
    private var isInDoubt = false
    private var hasFailed = false
    private var keepAlive = DEFAULT_KEEP_ALIVE

    var idleSince: MonotonicTime = traffic.now()

    val isOpen: Boolean get() = channel.isActive

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Whether the connection may be used again at [now]. */
    fun isFresh(now: MonotonicTime, mayRepeat: Boolean): Boolean {
        val bound =
            if (mayRepeat) ServerConnections.REPEATABLE_IDLE else ServerConnections.UNREPEATABLE_IDLE
        return now - idleSince < minOf(bound, keepAlive - ServerConnections.KEEP_ALIVE_MARGIN)
    }

    fun send(attempt: ServerAttempt, request: FullHttpRequest) {
        this.attempt = attempt
        attempt.connection = this
        isWritten = false
        decoder.isHead = request.method() == HttpMethod.HEAD
        val isSmall = request.content().readableBytes() < SINGLE_WRITE_BYTES
        channel.writeAndFlush(request).addListener { future ->
            isWritten = future.isSuccess
            if (!future.isSuccess) writeFailed(attempt, isSmall)
        }
    }

    /** A request that was to leave in one piece has not left at all. */
    private fun writeFailed(attempt: ServerAttempt, isSmall: Boolean) {
        if (this.attempt === attempt && answer == null) {
            this.attempt = null
            attempt.end(if (isSmall) AttemptEnd.UNREACHABLE else AttemptEnd.BROKEN)
        }
        close()
    }

    /** Ends the attempt that is under way by closing the connection. */
    fun abandon() {
        attempt = null
        close()
    }

    fun close() {
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        val current = attempt ?: return close()
        traffic.loads.recordActivity(server.id, traffic.now())
        if (message.decoderResult().isFailure) return fail(AttemptEnd.INVALID)
        if (message is HttpResponse) begin(current, message)
        if (message is HttpContent) content(message)
    }

    private fun begin(current: ServerAttempt, response: HttpResponse) {
        val head = traffic.wire.readAnswer(response)
        head.load?.let { traffic.loads.recordLoadReport(server.id, it, traffic.now()) }
        head.keepAliveSeconds?.let { keepAlive = it.seconds }
        val isOther = head.requestId != null && head.requestId != current.exchange.request.id
        if (isOther || head.endsConnection) isInDoubt = true
        answer = if (isOther || head.status < OK) null else AnswerReader(current, response, head)
    }

    private fun content(content: HttpContent) {
        val reader = answer ?: return
        if (!reader.add(content.content())) return fail(AttemptEnd.INVALID)
        if (attempt == null) return
        if (content is LastHttpContent) finish(reader)
    }

    private fun finish(reader: AnswerReader) {
        if (reader.isUnframed && hasFailed) return fail(AttemptEnd.BROKEN)
        answer = null
        attempt = null
        val isReusable = !reader.isUnframed && !isInDoubt && isWritten && isOpen
        if (isReusable) traffic.connections.release(this) else close()
        reader.finish()
    }

    private fun fail(end: AttemptEnd) {
        val current = attempt
        attempt = null
        answer = null
        close()
        current?.end(end)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        attempt?.exchange?.flush()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        traffic.connections.closed(this)
        fail(AttemptEnd.BROKEN)
    }

    @Deprecated("Netty declares it so; the pipeline still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        hasFailed = true
        if (answer?.isUnframed != true) fail(AttemptEnd.BROKEN)
        close()
    }

    private companion object {
        const val OK = 200
        const val SINGLE_WRITE_BYTES = 8_192
        val DEFAULT_KEEP_ALIVE = 6.seconds
    }
}
