package org.yuccajunction.gateway

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.http.AnswerMemory
import org.yuccajunction.http.HeldBytes
import org.yuccajunction.http.reset
import org.yuccajunction.model.MonotonicTime
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/**
 * Handles one connection to a backend server, which carries at most one attempt at a time.
 *
 * @param memory bounds what is held of the server's answers, on all connections to the server
 */
internal class ServerConnection(
    private val dataPlane: DataPlane,
    val server: BackendServer,
    private val decoder: ServerAnswerDecoder,
    private val memory: AnswerMemory,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val mergedAnswers = MergedAnswers(dataPlane.wire)
    private val notices = AnswerNotices(dataPlane, server)
    private val extraAnswers = ExtraAnswers(dataPlane, server)
    private val matching = AnswerMatching(extraAnswers, server.isPeerEntry)
    val proof = ConnectionProof(dataPlane, server)
    private var attempt: ServerAttempt? = null
    private var answer: AnswerReader? = null
        set(value) {
            field?.close()
            field = value
        }

    private var isRequestWritten = true
    private var isStateUncertain = false
    private var hasConnectionError = false
    private var hasReadWhileIdle = false
    private var serverKeepAlive = DEFAULT_KEEP_ALIVE

    var idleSince: MonotonicTime = dataPlane.now()

    val isOpen: Boolean get() = channel.isActive

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        decoder.onRead = { if (attempt == null) hasReadWhileIdle = true }
        decoder.isAnswerToHead = { matching.isAnswerToHead { dataPlane.wire.readAnswer(it).requestId } }
    }

    /** Returns whether the connection has been idle at [now] for a short enough time to carry another request. */
    fun isWithinIdleLimit(now: MonotonicTime, mayRepeat: Boolean): Boolean {
        val bound =
            if (mayRepeat) ServerConnections.MAX_IDLE_REPEATABLE else ServerConnections.MAX_IDLE_UNREPEATABLE
        return now - idleSince < minOf(bound, serverKeepAlive - ServerConnections.KEEP_ALIVE_MARGIN)
    }

    fun send(attempt: ServerAttempt, request: FullHttpRequest) {
        matching.requestSent(attempt.exchange.request.id, isHead = request.method() == HttpMethod.HEAD)
        proof.requestSent()
        this.attempt = attempt
        attempt.connection = this
        isRequestWritten = false
        val isSingleWrite = request.content().readableBytes() < MAX_SINGLE_WRITE_BYTES
        channel.writeAndFlush(request).addListener { future ->
            isRequestWritten = future.isSuccess
            if (!future.isSuccess) writeFailed(attempt, isSingleWrite)
        }
    }

    /**
     * Ends [attempt] after its request could not be written.
     *
     * A request written in one piece has not left at all; of a larger one, a part may have arrived.
     */
    private fun writeFailed(attempt: ServerAttempt, isSingleWrite: Boolean) {
        if (isSingleWrite) proof.requestNotSent()
        if (this.attempt === attempt && answer == null) {
            this.attempt = null
            attempt.end(if (isSingleWrite) AttemptEnd.UNREACHABLE else AttemptEnd.BROKEN)
        }
        reset()
    }

    /** Abandons the current attempt and ends the connection. */
    fun abortAttempt() {
        attempt = null
        answer = null
        reset()
    }

    fun close() {
        proof.closing()
        channel.close()
    }

    /** Ends the connection so that the rest of a request that was given up does not arrive later. */
    private fun reset() {
        proof.closing()
        channel.reset()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        proof.received()
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        val current = attempt ?: return readUnexpected(message)
        dataPlane.loopDelay.awoke(dataPlane.now())
        dataPlane.loadBalancer.recordActivity(server.id, dataPlane.now())
        dataPlane.relays.recordContact(server)
        if (message.decoderResult().isFailure) {
            extraAnswers.recordUndecodable(message.decoderResult().cause().toString(), current.exchange.request.id)
            return failAttempt(AttemptEnd.INVALID)
        }
        if (mergedAnswers.isMerged(message)) return failTorn(current)
        if (message is HttpResponse) beginAnswer(current, message)
        if (message is HttpContent) addContent(message)
    }

    /** Closes the connection, on which [message] arrives while no request is open. */
    private fun readUnexpected(message: HttpObject) {
        if (message is HttpResponse) extraAnswers.recordUnexpected(message)
        close()
    }

    private fun beginAnswer(current: ServerAttempt, response: HttpResponse) {
        val head = dataPlane.wire.readAnswer(response)
        head.load?.let { dataPlane.loadBalancer.recordLoadReport(server.id, it, dataPlane.now()) }
        head.keepAliveSeconds?.let { serverKeepAlive = it.seconds }
        if (!head.isMisplaced && !server.isPeerEntry) notices.record(head)
        answer = null
        val match = matching.match(head, current.exchange.request.id)
        if (match.leavesUncertain || head.closesConnection) isStateUncertain = true
        when (match) {
            AnswerMatch.OWN, AnswerMatch.OWN_UNNAMED -> {
                current.answer = matching.originOf(head)
                answer = AnswerReader(current, response, head, HeldBytes(memory))
            }
            AnswerMatch.INTERIM, AnswerMatch.OTHER_REQUEST -> Unit
            AnswerMatch.UNPROVEN, AnswerMatch.TOO_MANY -> failAttempt(AttemptEnd.INVALID)
        }
    }

    private fun addContent(content: HttpContent) {
        val reader = answer ?: return skip(content)
        if (!reader.add(content.content())) return failAttempt(AttemptEnd.INVALID)
        if (attempt == null) return
        if (content is LastHttpContent) finishAnswer(reader)
    }

    private fun skip(content: HttpContent) {
        val current = attempt ?: return
        when (matching.skip(content)) {
            AnswerMatching.Skip.WHOLE -> Unit
            AnswerMatching.Skip.TORN -> failTorn(current)
            AnswerMatching.Skip.TOO_LONG -> failAttempt(AttemptEnd.INVALID)
        }
    }

    /** Ends [current], whose answer may stand in what was read of a broken one or behind it. */
    private fun failTorn(current: ServerAttempt) {
        extraAnswers.recordUndecodable("an answer within an answer", current.exchange.request.id)
        failAttempt(AttemptEnd.INVALID)
    }

    /** Reads on, or reads no more until the next call. */
    fun setReading(isReading: Boolean) {
        channel.config().isAutoRead = isReading
    }

    private fun finishAnswer(reader: AnswerReader) {
        if (reader.isCloseDelimited && !isEndOfConnectionProven()) return failAttempt(AttemptEnd.BROKEN)
        answer = null
        attempt?.let { extraAnswers.requestAnswered(it.exchange.request.id, reader.status) }
        attempt = null
        val isReusable =
            !reader.isCloseDelimited && !isStateUncertain && isRequestWritten && isOpen && !decoder.hasPartialHead
        if (isReusable) makeAvailable() else close()
        reader.finish()
    }

    /** Returns this connection to the pool, where it is read again even if the caller of the last stream was slow. */
    private fun makeAvailable() {
        setReading(true)
        dataPlane.serverConnections.returnToPool(this)
    }

    /**
     * Returns whether the server itself has ended the connection after its last byte.
     *
     * The connection also ends by a reset, which a failed write may be the only sign of, and by a close of this entry.
     * A server that ends it before it has the whole request may have been killed.
     */
    private fun isEndOfConnectionProven(): Boolean =
        decoder.isInputEnded && isRequestWritten && !hasConnectionError

    private fun failAttempt(end: AttemptEnd) {
        val current = attempt
        attempt = null
        answer = null
        if (current == null) close() else reset()
        current?.end(end)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        attempt?.exchange?.flush()
        if (attempt == null && (hasReadWhileIdle || decoder.hasPartialHead)) {
            extraAnswers.recordPartial()
            close()
        }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === ChannelInputShutdownEvent.INSTANCE) connectionEnded()
    }

    override fun channelInactive(context: ChannelHandlerContext) = connectionEnded()

    private fun connectionEnded() {
        proof.ended()
        dataPlane.serverConnections.removeClosed(this)
        failAttempt(AttemptEnd.BROKEN)
    }

    @Deprecated("Netty deprecates this method, but its pipeline still calls it.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        hasConnectionError = true
        proof.ended()
        if (cause !is IOException) {
            dataPlane.log.write(LogEvent.REQUEST_HANDLING_FAILED) {
                field("server", server.id)
                field("detail", cause)
            }
        }
        if (answer?.isCloseDelimited != true) failAttempt(AttemptEnd.BROKEN)
        close()
    }

    private companion object {
        const val MAX_SINGLE_WRITE_BYTES = 8_192
        val DEFAULT_KEEP_ALIVE = 6.seconds
    }
}
