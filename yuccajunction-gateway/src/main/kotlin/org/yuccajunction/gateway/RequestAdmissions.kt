package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import org.yuccajunction.control.LogEvent
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.overload.AdmissionQueue
import org.yuccajunction.overload.AdmissionStep
import org.yuccajunction.overload.HeldRequest
import org.yuccajunction.overload.RetrySchedule
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Admits the requests of all callers in turns, once per turn of the event loop.
 *
 * A request is admitted in a task after all sockets were read, so that a caller's disconnecting that has arrived is
 * known before the request is sent on. No timer runs while no request waits.
 */
internal class RequestAdmissions(private val dataPlane: DataPlane) {
    private val queue = AdmissionQueue<PendingRequest>(RetrySchedule(dataPlane.random))
    private val telemetry = OverloadTelemetry(dataPlane)
    private var isScheduled = false
    private var isInTurn = false

    /** Whether the event loop was late when it last admitted requests. */
    val isLate: Boolean get() = queue.isLate

    /** Number of requests that wait for their admission. */
    val waiting: Int get() = queue.size

    /** Holds [request] until the sockets that are ready have been read. */
    fun add(request: PendingRequest) {
        val received = request.received
        val route = routeOf(received)
        val longest = route?.timeLimit ?: UNKNOWN_ROUTE_LIMIT
        val limit = dataPlane.wire.readTimeLimit(received.head.headers()) ?: longest
        queue.add(
            HeldRequest(
                value = request,
                arrivedAt = received.arrivedAt,
                readAt = received.receivedAt,
                deadline = received.arrivedAt + minOf(limit, longest),
                latencyTarget = route?.latencyTarget ?: UNKNOWN_ROUTE_LIMIT,
                rank = route?.rank ?: Int.MAX_VALUE,
            ),
        )
        schedule()
    }

    private fun routeOf(received: ReceivedRequest): ForwardRoute? {
        val host = received.head.headers().get(HttpHeaderNames.HOST) ?: return null
        val path = received.head.uri().substringBefore('?')
        return dataPlane.fleet.configuration?.route(host.substringBefore(':'), path)
    }

    /** Begins a turn after the next poll; the first turn after a poll needs no further poll. */
    private fun schedule(isAfterNextPoll: Boolean = isInTurn) {
        if (isScheduled) return
        isScheduled = true
        // Unlike a task, a timer that is due runs after the sockets were polled again.
        if (isAfterNextPoll) {
            dataPlane.loop.schedule(::takeTurn, 0, TimeUnit.NANOSECONDS)
        } else {
            dataPlane.loop.execute(::takeTurn)
        }
    }

    private fun takeTurn() {
        isScheduled = false
        isInTurn = true
        try {
            val now = dataPlane.now()
            val delay = dataPlane.loopDelay.delay(now)
            telemetry.turnBegan(delay)
            queue.retain(::isWanted)
            queue.beginTurn(now, delay)
            while (true) perform(queue.next(dataPlane.now()) ?: break)
        } finally {
            isInTurn = false
            if (!queue.isEmpty) schedule(isAfterNextPoll = true)
        }
    }

    private fun isWanted(request: PendingRequest): Boolean {
        if (!request.caller.isConnected) telemetry.callerLeft()
        return request.caller.isConnected
    }

    private fun perform(step: AdmissionStep<PendingRequest>) {
        val caller = step.request.value.caller
        // One request that can't be handled must not take those behind it along.
        val isDone =
            dataPlane.log.runGuarded(LogEvent.REQUEST_HANDLING_FAILED, "admission") {
                when (step) {
                    is AdmissionStep.Admit -> caller.admitPending()
                    is AdmissionStep.Reject -> {
                        telemetry.rejected(step.cause)
                        caller.rejectPending(step.retryAfter)
                    }
                }
            }
        if (!isDone) caller.close()
    }

    /** Rejects all requests that wait, because the process is about to exit. */
    fun rejectAll() {
        queue.removeAll().forEach { it.caller.rejectPending(STOPPED_RETRY_AFTER) }
    }

    /** Writes what was rejected since the last call; called at most twice a second. */
    fun report() = telemetry.report(dataPlane.now())

    private companion object {
        /** Time limit and latency target of a request whose route is unknown; its answer needs no server. */
        val UNKNOWN_ROUTE_LIMIT: Duration = 1.seconds

        /** Callers may go to another entry at once. */
        val STOPPED_RETRY_AFTER: Duration = Duration.ZERO
    }
}
