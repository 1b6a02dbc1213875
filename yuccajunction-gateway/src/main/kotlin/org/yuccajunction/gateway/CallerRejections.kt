package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent

/** Writes that a request, which was not received to its end, was answered with [status] for [reason]. */
internal fun DecisionLog.writeCallerRejected(status: Int, reason: String) {
    write(LogEvent.CALLER_REJECTED) {
        field("status", status)
        field("reason", reason)
    }
}
