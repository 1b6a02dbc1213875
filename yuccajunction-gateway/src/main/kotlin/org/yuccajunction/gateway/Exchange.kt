package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
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

/**
 * Forwards one request to backend servers and an answer back to the caller.
 *
 * [ForwardMachine] decides on attempts and answers; this class carries out the decisions on the connections.
 */
internal class Exchange(
    val dataPlane: DataPlane,
    private val caller: CallerConnection,
    val request: ForwardRequest,
    private val head: HttpRequest,
    private val body: ByteBuf,
    private val charge: QuotaCharge?,
) : ForwardActions {
    private val machine = ForwardMachine(request, dataPlane.environment, this)
    private var attempt: ServerAttempt? = null
    private var answer: BufferedAnswer? = null

    /** The attempt whose answer is passed on, null where none is so far. */
    private var answeredAttempt: ServerAttempt? = null
    private var streamHead: HttpResponse? = null
    private var lastEventNumber = Long.MIN_VALUE
    private var isUsageCounted = false
    private val outgoing = OutgoingRequest(dataPlane.wire, request, head, body)
    private val telemetry = ExchangeTelemetry(dataPlane, request)

    val method: HttpMethod get() = head.method()

    fun start() {
        dataPlane.addExchange(this)
        machine.start(dataPlane.now())
    }

    fun tick(now: MonotonicTime) = machine.tick(now, isWaitingForCaller = machine.isStreaming && !caller.isWritable)

    /** Reads on from the server, or stops reading, depending on whether the caller takes more of the stream. */
    fun callerWritabilityChanged() {
        attempt?.connection?.setReading(caller.isWritable)
    }

    fun callerLeft() {
        if (machine.isEnded) return
        machine.callerLeft()
        if (!machine.isStreaming) answeredAttempt = null
        finish("caller-left")
    }

    fun stop() = machine.stop()

    /** Ends the exchange if its caller has disconnected or its deadline has passed; returns whether it goes on. */
    fun isStillWanted(): Boolean {
        if (!caller.isConnected) callerLeft() else machine.tick(dataPlane.now(), isWaitingForCaller = true)
        return !machine.isEnded
    }

    fun flush() = caller.flush()

    override fun dispatch(attempt: Int, server: BackendServer, lastEventId: String?) {
        val now = dataPlane.now()
        telemetry.dispatched(server)
        if (server.isPeerEntry) {
            dataPlane.relays.peers.recordAttempt(server.id)
        }
        val ticket = dataPlane.loadBalancer.beginAttempt(server, request, now)
        val started = ServerAttempt(this, attempt, server, ticket, now)
        if (!server.isPeerEntry) started.execution = dataPlane.quarantine.beginExecution(request, server.id, now)
        this.attempt = started
        dataPlane.serverConnections.send(started, request.route.mayRepeat) { sentAt ->
            outgoing.to(server, lastEventId, sentAt)
        }
    }

    /** Handles the [end] of an [attempt] without an answer that can be passed on. */
    fun attemptEnded(attempt: ServerAttempt, end: AttemptEnd) {
        if (end.mayHaveExecuted && !request.route.isStream) countUsageOnce(attempt)
        attempt.trial.ended(attempt, end)
        dataPlane.loadBalancer.endAttempt(attempt.ticket, end, dataPlane.now())
        val mayHaveEnded = end == AttemptEnd.BROKEN || end == AttemptEnd.INVALID
        if (mayHaveEnded && !attempt.server.isPeerEntry) dataPlane.serverEndDetector.attemptBroke(attempt)
        machine.attemptEnded(attempt.number, end, dataPlane.now())
    }

    /** Handles the whole answer [buffered] to [attempt]. */
    fun answerReceived(attempt: ServerAttempt, buffered: BufferedAnswer) {
        if (!attempt.markOver()) return
        answeredAttempt = attempt
        countUsageOnce(attempt)
        val now = dataPlane.now()
        val status = buffered.status.code()
        if (attempt.server.isPeerEntry) {
            answer = buffered
            return machine.peerAnswered(attempt.number)
        }
        if (status < MIN_SERVER_ERROR_STATUS) dataPlane.quarantine.recordAnswer(request, now)
        attempt.trial.answered(attempt, isFailure = status >= MIN_SERVER_ERROR_STATUS, now)
        dataPlane.loadBalancer.recordFirstAnswer(attempt.ticket, now)
        dataPlane.loadBalancer.endAttempt(
            attempt.ticket,
            AttemptEnd.FAILED.takeIf { status >= MIN_SERVER_ERROR_STATUS },
            now,
        )
        answer = buffered
        machine.attemptAnswered(attempt.number, status, now)
    }

    /** Handles the [refusal] of the peer that [attempt] was sent to. */
    fun peerRefused(attempt: ServerAttempt, refusal: RelayRefusal) {
        if (!attempt.markOver()) return
        if (refusal.cause == RefusalCause.NO_SERVER) {
            dataPlane.relays.peers.recordRefusal(attempt.server.id, request.service)
        }
        machine.peerRefused(attempt.number, refusal.cause, refusal.retryAfter, dataPlane.now())
    }

    /** Handles a whole event of the stream that answers [attempt]; an event that was already passed on is dropped. */
    fun streamEventReceived(attempt: ServerAttempt, response: HttpResponse, event: ServerSentEvent) {
        if (attempt.isOver || machine.isEnded) return event.release()
        countUsageOnce(attempt)
        attempt.trial.eventReceived(attempt, dataPlane.now())
        dataPlane.loadBalancer.recordFirstAnswer(attempt.ticket, dataPlane.now())
        if (attempt.firstEventAt == null) {
            attempt.firstEventAt = dataPlane.now()
            dataPlane.quarantine.recordEvent(request, dataPlane.now())
        }
        streamHead = streamHead ?: response
        answeredAttempt = attempt
        machine.streamStarted(attempt.number)
        // Comments, which only keep a connection open, have no identity; they are no progress of a stream that has any.
        if (event.id != null || lastEventNumber == Long.MIN_VALUE) machine.progress.eventReceived(dataPlane.now())
        val number = event.id?.toLongOrNull()
        attempt.lastEventNumber = number ?: attempt.lastEventNumber
        if (number != null && number <= lastEventNumber) return event.release()
        if (number != null) lastEventNumber = number
        caller.writeStreamBytes(event.bytes)
        event.id?.let(machine::eventForwarded)
        if (!caller.isWritable) attempt.connection?.setReading(false)
    }

    /**
     * Handles the complete end of the stream that answers [attempt].
     *
     * A run that ends before an event that was already sent is not the rest of the stream that the caller has begun.
     */
    fun streamCompleted(attempt: ServerAttempt, response: HttpResponse) {
        if (attempt.lastEventNumber.let { it != null && it < lastEventNumber }) return attempt.end(AttemptEnd.INVALID)
        if (!attempt.markOver()) return
        val now = dataPlane.now()
        attempt.trial.answered(attempt, isFailure = false, now)
        if (!attempt.server.isPeerEntry) dataPlane.quarantine.recordAnswer(request, now)
        dataPlane.loadBalancer.recordFirstAnswer(attempt.ticket, now)
        dataPlane.loadBalancer.endAttempt(attempt.ticket, null, now)
        streamHead = streamHead ?: response
        answeredAttempt = attempt
        machine.streamStarted(attempt.number)
        machine.streamCompleted(attempt.number)
    }

    /** Counts the execution of the request, unless it is a peer that counts it. */
    private fun countUsageOnce(attempt: ServerAttempt) {
        if (isUsageCounted || attempt.server.isPeerEntry) return
        isUsageCounted = true
        dataPlane.countUsage(request.workspace)
    }

    override fun cancel(attempt: Int) {
        val current = this.attempt ?: return
        val connection = current.connection
        if (!current.markOver()) return
        connection?.abortAttempt()
        if (!current.server.isPeerEntry) dataPlane.serverEndDetector.attemptGivenUp(current)
        if (isSilent(current)) dataPlane.relays.verifyAfterSilence(current.server)
        current.trial.cancelled(current, isSilent(current), dataPlane.now())
        dataPlane.loadBalancer.endAttempt(
            current.ticket,
            AttemptEnd.SILENT.takeIf { isSilent(current) },
            dataPlane.now(),
        )
    }

    private fun isSilent(attempt: ServerAttempt): Boolean =
        !machine.isEnded && dataPlane.isSilent(attempt.server.id, attempt.startedAt, dataPlane.now())

    override fun deliver(attempt: Int) {
        if (machine.isStreaming && !machine.isEnded) return deliverStreamHead()
        val buffered = checkNotNull(answer) { "no answer is buffered for attempt $attempt" }
        val isUnprovenRejection = buffered.status.code() in REJECTION_STATUSES
        if (isUnprovenRejection) return fail(FailureCause.OUTCOME_UNKNOWN)
        caller.writeAnswer(buffered.status, endToEndHeaders(buffered.headers), buffered.body)
        finish("answered-${buffered.status.code()}")
    }

    private fun deliverStreamHead() {
        val response = checkNotNull(streamHead) { "no stream head was received" }
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), endToEndHeaders(response.headers()))
        caller.writeStreamHead(head)
    }

    /** Returns what callers get of a server's [headers]; for HEAD with the length of the body that is left out. */
    private fun endToEndHeaders(headers: HttpHeaders): HttpHeaders {
        val target = DefaultHttpHeaders()
        HopByHopHeaders.copyEndToEnd(headers, target)
        val length = headers.get(HttpHeaderNames.CONTENT_LENGTH).takeIf { method == HttpMethod.HEAD }
        if (length != null) target.set(HttpHeaderNames.CONTENT_LENGTH, length)
        return target
    }

    override fun refuse(cause: RefusalCause, retryAfter: Duration) {
        charge?.refund(dataPlane)
        answeredAttempt = null
        caller.writeRejection(cause.status, cause.code, retryAfter)
        finish(cause.code)
    }

    override fun fail(cause: FailureCause) {
        if (machine.isStreaming) {
            caller.abortStream()
        } else {
            answeredAttempt = null
            caller.writeFailure(cause.status, cause.code)
        }
        finish(cause.code)
    }

    override fun complete() {
        caller.endStream()
        finish("completed")
    }

    override fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd) =
        telemetry.attemptEnded(attempt, server, end, this.attempt?.answer)

    private fun finish(outcome: String) {
        dataPlane.removeExchange(this)
        body.release()
        telemetry.ended(outcome, machine.attempt, answeredAttempt)
    }

    /** The amount that the request took from its workspace's quota. */
    class QuotaCharge(private val policy: WorkspacePolicy, private val amount: Double) {
        private var isRefunded = false

        fun refund(dataPlane: DataPlane) {
            if (!isRefunded) dataPlane.quotas.refund(policy, amount)
            isRefunded = true
        }
    }

    private companion object {
        const val MIN_SERVER_ERROR_STATUS = 500

        /**
         * Statuses by which a backend server claims that it did not execute the request.
         *
         * Without the header that proves the claim, the gateway answers that the outcome is unknown.
         */
        val REJECTION_STATUSES =
            setOf(
                HttpResponseStatus.REQUEST_TIMEOUT.code(),
                HttpResponseStatus.MISDIRECTED_REQUEST.code(),
                HttpResponseStatus.TOO_MANY_REQUESTS.code(),
                HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
            )
    }
}
