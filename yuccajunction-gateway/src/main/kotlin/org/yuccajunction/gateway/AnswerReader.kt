package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.http.HeldBytes
import org.yuccajunction.http.endsWithConnection

/** Reads one answer of a backend server and decides whether the answer can be passed on to the caller. */
internal class AnswerReader(
    private val attempt: ServerAttempt,
    private val response: HttpResponse,
    private val head: AnswerHead,
    private val held: HeldBytes,
) {
    private val exchange = attempt.exchange
    private val isUsable = head.canBePassedOn(exchange.request.id)
    private val isStream =
        isUsable && head.isSuccess && exchange.request.route.isStream && exchange.method != HttpMethod.HEAD
    private val splitter = if (isStream) EventSplitter() else null
    private val body: ByteBuf = Unpooled.buffer(0)

    val status: Int get() = head.status

    /** Whether the answer has no length and no chunks, so that only the end of the connection ends the body. */
    val isCloseDelimited: Boolean = response.endsWithConnection(isAnswerToHead = exchange.method == HttpMethod.HEAD)

    /** Adds [content] to the answer; returns false where the body or one of its events is too large to be held. */
    fun add(content: ByteBuf): Boolean {
        val isSmallEnough = if (splitter == null) addToBody(content) else addToStream(splitter, content)
        return isSmallEnough && held.set(splitter?.partialEventBytes ?: body.readableBytes())
    }

    private fun addToStream(splitter: EventSplitter, content: ByteBuf): Boolean {
        splitter.add(content) { event -> exchange.streamEventReceived(attempt, response, event) }
        return !splitter.isEventTooLarge
    }

    /** Gives back the memory of the answer, which is not read any further. */
    fun close() {
        held.set(0)
    }

    private fun addToBody(content: ByteBuf): Boolean {
        if (body.readableBytes() + content.readableBytes() > MAX_BODY_BYTES) return false
        body.writeBytes(content)
        return true
    }

    /** Ends the attempt after the answer's last byte: with the answer, or with the reason why it can't be passed on. */
    fun finish() {
        val refusal = if (attempt.server.isPeerEntry) RelayRefusal.read(response.headers()) else null
        when {
            refusal != null -> exchange.peerRefused(attempt, refusal)
            head.isMisplaced -> attempt.end(AttemptEnd.MISPLACED)
            head.isNotExecuted -> attempt.end(AttemptEnd.REJECTED)
            // A server that ends before its first event closes the connection just as one that has sent all events.
            isStream && isCloseDelimited && attempt.firstEventAt == null -> attempt.end(AttemptEnd.BROKEN)
            !isUsable || splitter?.hasPartialEvent == true -> attempt.end(AttemptEnd.INVALID)
            isStream -> exchange.streamCompleted(attempt, response)
            else -> exchange.answerReceived(attempt, BufferedAnswer(response.status(), response.headers(), body))
        }
    }

    private companion object {
        const val MAX_BODY_BYTES = 8 * 1_048_576
    }
}
