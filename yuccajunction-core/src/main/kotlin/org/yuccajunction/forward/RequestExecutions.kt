package org.yuccajunction.forward

import org.yuccajunction.model.BackendServerId

/**
 * Counts the servers at which one request may have been executed, up to the [maximum] of its route.
 *
 * Servers that are no longer listed do not count against the maximum.
 */
internal class RequestExecutions(private val maximum: Int, private val isGone: (BackendServerId) -> Boolean) {
    private val servers = mutableSetOf<BackendServerId>()

    /** Whether any attempt reached a server; only attempts after that are taken out of the retry budget. */
    var hasReachedServer = false
        private set

    /** Whether any attempt that has ended may have been executed. */
    val hasAny: Boolean get() = servers.isNotEmpty()

    /** Whether the request may be executed once more. */
    val hasRemaining: Boolean get() = countListed(servers) < maximum

    /** Returns whether the request may be executed once more, though [server] may be executing it now. */
    fun hasRemainingBeside(server: BackendServerId): Boolean = countListed(servers + server) < maximum

    /** Records that the attempt at [server] ended with [end]. */
    fun recordEnd(server: BackendServerId, end: AttemptEnd) {
        if (end != AttemptEnd.UNREACHABLE) hasReachedServer = true
        if (end.mayHaveExecuted) servers += server
    }

    private fun countListed(servers: Set<BackendServerId>): Int = servers.count { !isGone(it) }
}
