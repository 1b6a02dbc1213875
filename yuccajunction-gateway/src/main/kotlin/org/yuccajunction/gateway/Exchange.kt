package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.FailureCause
import org.yuccajunction.forward.ForwardActions
import org.yuccajunction.forward.ForwardMachine
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration

/** One forwarded request between its caller's connection and the connections to backend servers. */
internal class Exchange(
    private val traffic: Traffic,
    private val caller: CallerConnection,
    val request: ForwardRequest,
    private val head: HttpRequest,
    private val body: ByteBuf,
    private val charge: Charge?,
) : ForwardActions {
    private val machine = ForwardMachine(request, traffic.environment, this)
    private var attempt: ServerAttempt? = null
    private var answer: HeldAnswer? = null
    private var streamHead: HttpResponse? = null
    private var lastEventNumber = Long.MIN_VALUE
    private var hasBegun = false
    private val record = ExchangeRecord(traffic, request)

    val method: HttpMethod get() = head.method()

    fun start() {
        traffic.begin(this)
        machine.start(traffic.now())
    }

    fun tick(now: MonotonicTime) = machine.tick(now)

    fun callerLeft() {
        if (machine.isEnded) return
        machine.callerLeft()
        finish("caller-left")
    }

    fun stop() = machine.stop()

    fun flush() = caller.flush()

    override fun dispatch(attempt: Int, server: BackendServer, lastEventId: String?) {
        val now = traffic.now()
        record.dispatched(server)
        val ticket = traffic.loads.beginAttempt(server, request, now)
        val started = ServerAttempt(this, attempt, server, ticket, now)
        this.attempt = started
        traffic.connections.send(started, serverRequest(server, lastEventId, now), request.route.mayRepeat)
    }

    private fun serverRequest(server: BackendServer, lastEventId: String?, now: MonotonicTime): DefaultFullHttpRequest {
        val headers = DefaultHttpHeaders()
        HopHeaders.copy(head.headers(), headers, traffic.wire::isPassedOn)
        val left = request.deadline - now
        traffic.wire.writeInstructions(
            headers,
            ServerInstructions(server.id, left, request.workspace, request.rank, lastEventId),
        )
        if (body.isReadable || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        val content = body.retainedDuplicate()
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            head.method(),
            head.uri(),
            content,
            headers,
            DefaultHttpHeaders(),
        )
    }

    /** An attempt ended without an answer that can be passed on. */
    fun attemptEnded(attempt: ServerAttempt, end: AttemptEnd) {
        if (end.mayHaveExecuted && !request.route.isStream) begun()
        traffic.loads.endAttempt(attempt.ticket, end, traffic.now())
        machine.attemptEnded(attempt.number, end, traffic.now())
    }

    /** The whole answer [held] came for [attempt]. */
    fun answered(attempt: ServerAttempt, held: HeldAnswer) {
        if (!attempt.close()) return
        begun()
        val now = traffic.now()
        val status = held.status.code()
        traffic.loads.recordFirstAnswer(attempt.ticket, now)
        traffic.loads.endAttempt(attempt.ticket, AttemptEnd.FAILED.takeIf { status >= SERVER_ERROR }, now)
        answer = held
        machine.attemptAnswered(attempt.number, status, now)
    }

    /** A whole event of a stream came. */
    fun streamEvent(attempt: ServerAttempt, response: HttpResponse, event: ServerEvent) {
        if (attempt.isOver || machine.isEnded) return drop(event)
        begun()
        traffic.loads.recordFirstAnswer(attempt.ticket, traffic.now())
        streamHead = streamHead ?: response
        machine.streamStarted(attempt.number)
        val number = event.id?.toLongOrNull()
        if (number != null && number <= lastEventNumber) return drop(event)
        if (number != null) lastEventNumber = number
        caller.writeStreamed(event.bytes)
        event.id?.let(machine::eventForwarded)
    }

    private fun drop(event: ServerEvent) {
        event.bytes.release()
    }

    /** The stream of [attempt] ended as complete. */
    fun streamCompleted(attempt: ServerAttempt, response: HttpResponse) {
        if (!attempt.close()) return
        val now = traffic.now()
        traffic.loads.recordFirstAnswer(attempt.ticket, now)
        traffic.loads.endAttempt(attempt.ticket, null, now)
        streamHead = streamHead ?: response
        machine.streamStarted(attempt.number)
        machine.streamCompleted(attempt.number)
    }

    private fun begun() {
        if (hasBegun) return
        hasBegun = true
        traffic.began(request.workspace)
    }

    override fun cancel(attempt: Int) {
        val current = this.attempt ?: return
        val connection = current.connection
        if (!current.close()) return
        connection?.abandon()
        traffic.loads.endAttempt(current.ticket, AttemptEnd.SILENT.takeIf { isSilent(current) }, traffic.now())
    }

    private fun isSilent(attempt: ServerAttempt): Boolean =
        !machine.isEnded && traffic.loads.isSilent(attempt.server.id, attempt.startedAt, traffic.now())

    override fun deliver(attempt: Int) {
        if (machine.isStreaming && !machine.isEnded) return deliverStreamHead()
        val held = checkNotNull(answer) { "no answer is held for attempt $attempt" }
        val isFalsePromise = held.status.code() in PROMISES
        if (isFalsePromise) return failWith(FailureCause.OUTCOME_UNKNOWN)
        caller.answer(held.status, passedHeaders(held.headers), held.body)
        finish("answered-${held.status.code()}")
    }

    private fun deliverStreamHead() {
        val response = checkNotNull(streamHead) { "no head of a stream is held" }
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), passedHeaders(response.headers()))
        caller.beginStream(head)
    }

    private fun passedHeaders(headers: HttpHeaders): HttpHeaders =
        DefaultHttpHeaders().also { HopHeaders.copy(headers, it) }

    override fun refuse(cause: RefusalCause, retryAfter: Duration) {
        charge?.giveBack(traffic)
        caller.refuse(cause.status, cause.code, retryAfter)
        finish(cause.code)
    }

    override fun fail(cause: FailureCause) = failWith(cause)

    private fun failWith(cause: FailureCause) {
        if (machine.isStreaming) caller.breakOff() else caller.fail(cause.status, cause.code)
        finish(cause.code)
    }

    override fun complete() {
        caller.endStream()
        finish("completed")
    }

    override fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd) =
        record.attemptEnded(attempt, server, end)

    private fun finish(outcome: String) {
        traffic.end(this)
        body.release()
        record.ended(outcome, machine.attempt)
    }

    /** What the request took of its workspace's allowance. */
    class Charge(private val policy: WorkspacePolicy, private val amount: Double) {
        fun giveBack(traffic: Traffic) = traffic.allowances.refund(policy, amount)
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Statuses that say that a request has not run. */
        val PROMISES =
            setOf(
                HttpResponseStatus.REQUEST_TIMEOUT.code(),
                HttpResponseStatus.MISDIRECTED_REQUEST.code(),
                HttpResponseStatus.TOO_MANY_REQUESTS.code(),
                HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
            )
    }
}
