package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.yuccajunction.control.LogEvent
import org.yuccajunction.forward.CallerLimits
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.model.MonotonicTime
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Handles one caller's connection.
 *
 * Each request is buffered whole before it is forwarded. Pipelined requests are forwarded one at a time, so that their
 * answers are written in the order of the requests.
 *
 * @param isOfPeer whether the caller is another entry that forwards requests through this one
 */
internal class CallerConnection(
    private val dataPlane: DataPlane,
    private val limits: CallerLimits,
    private val decoder: CallerRequestDecoder,
    private val isOfPeer: Boolean = false,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val admission = ForwardAdmission(dataPlane, isOfPeer)
    private val waitingRequests = ArrayDeque<ReceivedRequest>()
    private val assembler = RequestAssembler(limits.bodyBytes)
    private val heldBodies = HeldBodies(dataPlane.requestMemory, limits.bodyBytes)

    /** The request that waits to be admitted, null where none does. */
    var pending: ReceivedRequest? = null
    private var exchange: Exchange? = null
    private var isAnswering = false
    private var isKeptOpen = true

    /** Whether the current request is a HEAD request, whose answer has headers but no body. */
    private var isAnsweringHead = false
    private var lastActiveAt = dataPlane.now()
    private val arrivals = RequestArrivals(dataPlane)

    /** Whether no more requests are read, since the last answer has announced the end of the connection. */
    private var isClosing = false

    /** Answers that are whole, but of which the caller has not yet taken all bytes. */
    private var unwrittenAnswers = 0

    /** Whether the caller has sent a request, or a part of one, whose answer is not yet written to its end. */
    val hasOpenRequest: Boolean
        get() = isAnswering || unwrittenAnswers > 0 || !isClosing && hasUnadmittedRequest

    private val hasUnadmittedRequest: Boolean get() = waitingRequests.isNotEmpty() || assembler.hasPartialRequest

    /** Whether the caller is still there, as far as is known. */
    val isConnected: Boolean get() = channel.isActive

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        dataPlane.callerConnections += this
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        if (isClosing) return
        lastActiveAt = dataPlane.now()
        dataPlane.loopDelay.awoke(lastActiveAt)
        if (!heldBodies.add(message)) return rejectForMemory()
        when (val outcome = assembler.add(message)) {
            is RequestAssembler.Outcome.Rejected -> rejectAndClose(outcome.status, outcome.code)
            is RequestAssembler.Outcome.Whole -> {
                heldBodies.requestWhole()
                val arrivedAt = arrivals.earliest(lastActiveAt)
                waitingRequests.addLast(ReceivedRequest(outcome.head, outcome.body, lastActiveAt, arrivedAt))
                admitNext()
            }
            is RequestAssembler.Outcome.Incomplete ->
                if (message is HttpRequest && HttpUtil.is100ContinueExpected(message)) {
                    channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
                }
        }
    }

    private fun admitNext() {
        if (isAnswering || !channel.isActive) return
        val received = waitingRequests.removeFirstOrNull() ?: return
        isAnswering = true
        isKeptOpen = HttpUtil.isKeepAlive(received.head)
        isAnsweringHead = received.head.method() == HttpMethod.HEAD
        pending = received
        dataPlane.admissions.add(PendingRequest(received, this))
    }

    /** Admits the request that waits. */
    fun admitPending() {
        val received = pending ?: return
        pending = null
        admission.admit(received, this)
    }

    /** Rejects the request that waits, because the event loop is late. */
    fun rejectPending(retryAfter: Duration) {
        val received = pending ?: return
        pending = null
        received.body.release()
        writeRejection(RefusalCause.ENTRY_OVERLOADED.status, RefusalCause.ENTRY_OVERLOADED.code, retryAfter)
    }

    fun close() {
        channel.close()
    }

    fun forward(exchange: Exchange) {
        this.exchange = exchange
        exchange.start()
    }

    /** Rejects a request that can't be parsed, and closes the connection once earlier answers are written. */
    private fun rejectAndClose(status: HttpResponseStatus, code: String) {
        dataPlane.log.writeCallerRejected(status.code(), code)
        assembler.release()
        heldBodies.dropPartial()
        channel.config().isAutoRead = false
        if (isAnswering) {
            isKeptOpen = false
            return
        }
        isAnswering = true
        isKeptOpen = false
        isAnsweringHead = false
        writeAnswer(status, DefaultHttpHeaders(), CallerAnswers.errorBody(code))
    }

    /** Rejects the request that is being received, for whose body there is no memory; the rest is discarded. */
    private fun rejectForMemory() {
        dataPlane.log.writeCallerRejected(RefusalCause.ENTRY_OVERLOADED.status, "no-memory")
        assembler.release()
        heldBodies.dropPartial()
        isClosing = true
        isKeptOpen = false
        if (isAnswering) return
        isAnswering = true
        isAnsweringHead = false
        val retryAfter = MEMORY_RETRY_AFTER * dataPlane.random.nextDouble(MIN_RETRY_SPREAD, MAX_RETRY_SPREAD)
        writeRejection(RefusalCause.ENTRY_OVERLOADED.status, RefusalCause.ENTRY_OVERLOADED.code, retryAfter)
    }

    /** Writes [status], [headers] and [body] as the whole answer to the current request; no body follows HEAD. */
    fun writeAnswer(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        val response = CallerAnswers.whole(status, headers, body, isAnsweringHead)
        markClosing(response.headers())
        writeLast(response)
    }

    /** Answers that the request was not executed and may be sent again after [retryAfter]. */
    fun writeRejection(status: Int, code: String, retryAfter: Duration) {
        val headers = CallerAnswers.rejectionHeaders(retryAfter)
        if (isOfPeer) RelayRefusal.write(headers, code, retryAfter)
        writeAnswer(HttpResponseStatus.valueOf(status), headers, CallerAnswers.errorBody(code))
    }

    /** Answers with an error; for a request of whose answer no byte was written yet. */
    fun writeFailure(status: Int, code: String) {
        writeAnswer(HttpResponseStatus.valueOf(status), DefaultHttpHeaders(), CallerAnswers.errorBody(code))
    }

    /** Writes [head] as the status line and headers of a streamed answer. */
    fun writeStreamHead(head: HttpResponse) {
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        markClosing(head.headers())
        channel.write(head)
    }

    fun writeStreamBytes(bytes: ByteBuf) {
        channel.write(DefaultHttpContent(bytes))
    }

    fun flush() {
        channel.flush()
    }

    /** Whether the caller has taken enough of what was written for more to be written. */
    val isWritable: Boolean get() = channel.isWritable

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        exchange?.callerWritabilityChanged()
    }

    /** Ends a streamed answer as complete. */
    fun endStream() {
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Closes the connection without the last chunk, so that the caller sees that the stream is incomplete. */
    fun abortStream() {
        exchange = null
        channel.flush()
        channel.close()
    }

    private fun markClosing(headers: HttpHeaders) {
        // Requests that the caller has sent already are answered on this connection.
        if (dataPlane.shutdown.since != null && waitingRequests.isEmpty()) isKeptOpen = false
        if (!isKeptOpen) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun writeLast(message: Any) {
        exchange = null
        isAnswering = false
        heldBodies.requestAnswered()
        lastActiveAt = dataPlane.now()
        unwrittenAnswers += 1
        val written = channel.writeAndFlush(message)
        written.addListener {
            unwrittenAnswers -= 1
            lastActiveAt = dataPlane.now()
        }
        if (!isKeptOpen) {
            isClosing = isClosing || dataPlane.shutdown.since != null
            // A close while bytes of the caller are unread is a reset, which may destroy the answer on its way.
            written.addListener { if (isClosing) (channel as SocketChannel).shutdownOutput() else channel.close() }
            return
        }
        written.addListener { if (!it.isSuccess) channel.close() }
        admitNext()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        dataPlane.callerConnections -= this
        exchange?.callerLeft()
        exchange = null
        assembler.release()
        heldBodies.dropAll()
        pending?.body?.release()
        pending = null
        waitingRequests.forEach { it.body.release() }
        waitingRequests.clear()
    }

    @Deprecated("Netty deprecates this method, but its pipeline still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) {
            dataPlane.log.write(LogEvent.REQUEST_HANDLING_FAILED) { field("detail", cause) }
        }
        channel.close()
    }

    /** Closes the connection where the caller sends a request too slowly or has been idle for too long. */
    fun enforceTimeouts(now: MonotonicTime) {
        if (isClosing && unwrittenAnswers == 0 && now - lastActiveAt > CLOSING_TIMEOUT) channel.close()
        if (isAnswering || waitingRequests.isNotEmpty()) return
        if (decoder.isHeadLate(now, limits.headerTimeout)) {
            return rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "too-slow")
        }
        val idle = now - lastActiveAt
        if (assembler.hasPartialRequest) {
            if (idle > limits.headerTimeout) rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "too-slow")
            return
        }
        val idleTimeout = if (isOfPeer) PEER_IDLE_TIMEOUT else limits.idleTimeout
        val mayCloseEarly = dataPlane.shutdown.rejectsArrival(now) && unwrittenAnswers == 0
        if (idle > idleTimeout || mayCloseEarly && idle > STOPPING_IDLE_TIMEOUT) channel.close()
    }

    private companion object {
        val STOPPING_IDLE_TIMEOUT = Duration.ZERO
        val MEMORY_RETRY_AFTER = 1.seconds
        const val MIN_RETRY_SPREAD = 0.5
        const val MAX_RETRY_SPREAD = 1.5

        /** Time for the caller to close its side of a connection whose end was announced. */
        val CLOSING_TIMEOUT = 500.milliseconds

        /** Longer than the time for which a peer keeps an idle connection for its next request. */
        val PEER_IDLE_TIMEOUT = 30.seconds
    }
}
