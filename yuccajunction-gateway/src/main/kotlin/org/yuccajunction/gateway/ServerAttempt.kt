package org.yuccajunction.gateway

import org.yuccajunction.fleet.AttemptTicket
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.quarantine.Execution

/** One attempt to execute the request of [exchange] at the backend server [server]. */
internal class ServerAttempt(
    val exchange: Exchange,
    val number: Int,
    val server: BackendServer,
    val ticket: AttemptTicket,
    val startedAt: MonotonicTime,
) {
    val trial = AttemptTrial(exchange.dataPlane, exchange.request)
    var connection: ServerConnection? = null

    /** The answer that is being read, or was read, null before its head. */
    var answer: AnswerOrigin? = null

    /** Time at which the first whole event of a stream arrived, null before. */
    var firstEventAt: MonotonicTime? = null

    /** Number of the last event that the attempt has brought, null where it has brought none with a number. */
    var lastEventNumber: Long? = null

    /** The execution of a request under which servers have ended before, null for any other request. */
    var execution: Execution? = null
    var isOver = false
        private set

    /** Ends the attempt without an answer that can be passed on, unless it is already over. */
    fun end(end: AttemptEnd) {
        if (markOver()) exchange.attemptEnded(this, end)
    }

    /** Marks the attempt as over; returns false where it was already over. */
    fun markOver(): Boolean {
        if (isOver) return false
        isOver = true
        connection = null
        exchange.dataPlane.quarantine.endExecution(execution)
        if (server.isPeerEntry) exchange.dataPlane.relays.peers.recordEnd(server.id)
        return true
    }
}
