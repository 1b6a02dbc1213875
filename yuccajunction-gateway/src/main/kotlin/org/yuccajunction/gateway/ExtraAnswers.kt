package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpResponse
import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.MonotonicTime

/**
 * Reports the answers on one connection to [server] that belong to no open request, and remembers the last answers.
 *
 * The server may answer a request twice, the second time late; both statuses are needed to see what callers missed.
 */
internal class ExtraAnswers(private val dataPlane: DataPlane, private val server: BackendServer) {
    private val answered = ArrayDeque<Answered>()
    private var isUnexpectedReported = false

    private class Answered(val request: String, val status: Int, val at: MonotonicTime)

    /** Records that [request] was answered with [status], which ends it on this connection. */
    fun requestAnswered(request: String, status: Int) {
        if (answered.size == MAX_REMEMBERED) answered.removeFirst()
        answered.addLast(Answered(request, status, dataPlane.now()))
    }

    /** Reports the answer with [head], which came while [current] was open, or while no request was. */
    fun record(head: AnswerHead, current: String?) {
        val first = answered.lastOrNull { it.request == head.requestId }
        val kind =
            when {
                first != null -> REPEATED
                head.requestId == null -> "unnamed"
                else -> "other-request"
            }
        dataPlane.metrics.extraAnswer(kind)
        dataPlane.log.write(if (first == null) LogEvent.ANSWER_SKIPPED else LogEvent.ANSWER_REPEATED) {
            field("request", head.requestId?.take(MAX_LOGGED_CHARS))
            field("server", server.id)
            field("kind", kind)
            field("status", head.status)
            field("firstStatus", first?.status)
            field("millisAfterFirst", first?.let { (dataPlane.now() - it.at).inWholeMilliseconds })
            field("open", current)
        }
    }

    /** Reports the first [response] that arrives while no request is open; the connection is closed for it. */
    fun recordUnexpected(response: HttpResponse) {
        if (isUnexpectedReported) return
        isUnexpectedReported = true
        val decoded = response.decoderResult()
        if (decoded.isFailure) {
            recordUndecodable(decoded.cause(), current = null)
        } else {
            record(dataPlane.wire.readAnswer(response), current = null)
        }
    }

    /** Reports bytes that are no answer, which came while [current] was open, or while no request was. */
    fun recordUndecodable(detail: Any?, current: String?) {
        dataPlane.metrics.extraAnswer(UNDECODABLE)
        dataPlane.log.write(LogEvent.ANSWER_SKIPPED) {
            field("server", server.id)
            field("kind", UNDECODABLE)
            field("detail", detail?.toString()?.take(MAX_DETAIL_CHARS))
            field("open", current)
        }
    }

    private companion object {
        const val REPEATED = "repeated"
        const val UNDECODABLE = "undecodable"

        /** Answers that are remembered for each connection. */
        const val MAX_REMEMBERED = 4
        const val MAX_LOGGED_CHARS = 64
        const val MAX_DETAIL_CHARS = 120
    }
}
