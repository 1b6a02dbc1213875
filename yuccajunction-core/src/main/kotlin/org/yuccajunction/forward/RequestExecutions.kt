package org.yuccajunction.forward

import org.yuccajunction.model.BackendServerId

/**
 * Counts the servers at which one request may have been executed, up to the [maximum] of its route.
 *
 * Servers that are no longer listed do not count against the maximum.
 */
internal class RequestExecutions(private val maximum: Int, private val isGone: (BackendServerId) -> Boolean) {
    private val servers = mutableSetOf<BackendServerId>()
    private var brokenAttempts = 0

    /** Whether any attempt reached a server; only attempts after that are taken out of the retry budget. */
    var hasReachedServer = false
        private set

    /** Whether any attempt that has ended may have been executed. */
    val hasAny: Boolean get() = servers.isNotEmpty()

    /** Whether the request may be executed once more. */
    val hasRemaining: Boolean get() = brokenAttempts < MAX_BROKEN_ATTEMPTS && countListed(servers) < maximum

    /** Returns whether the request may be executed once more, though [server] may be executing it now. */
    fun hasRemainingBeside(server: BackendServerId): Boolean =
        brokenAttempts < MAX_BROKEN_ATTEMPTS && countListed(servers + server) < maximum

    /** Records that the attempt at [server] ended with [end], after an event of its stream if [hadEvents]. */
    fun recordEnd(server: BackendServerId, end: AttemptEnd, hadEvents: Boolean) {
        if (end == AttemptEnd.BROKEN && !hadEvents) brokenAttempts += 1
        if (end != AttemptEnd.UNREACHABLE) hasReachedServer = true
        if (end.mayHaveExecuted) servers += server
    }

    private fun countListed(servers: Set<BackendServerId>): Int = servers.count { !isGone(it) }

    private companion object {
        /** Attempts that may break before their first event, since the request itself may have ended the servers. */
        const val MAX_BROKEN_ATTEMPTS = 2
    }
}
