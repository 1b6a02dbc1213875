package org.yuccajunction.gateway

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.AttemptTicket
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.model.MonotonicTime

/** One attempt of an [exchange] at a backend server, as its connection sees it. */
internal class ServerAttempt(
    val exchange: Exchange,
    val number: Int,
    val server: BackendServer,
    val ticket: AttemptTicket,
    val startedAt: MonotonicTime,
) {
    var connection: ServerConnection? = null
    var isOver = false
        private set

    /** Ends the attempt without an answer that can be passed on. */
    fun end(end: AttemptEnd) {
        if (markOver()) exchange.attemptEnded(this, end)
    }

    /** Marks the attempt as over; returns false where it was already. */
    fun markOver(): Boolean {
        if (isOver) return false
        isOver = true
        connection = null
        return true
    }
}
