package org.yuccajunction.forward

import org.yuccajunction.model.BackendServerId

/** The servers at which one request may have run; those that are gone don't count against its route's bound. */
internal class RequestExecutions(private val maximum: Int, private val isGone: (BackendServerId) -> Boolean) {
    private val servers = mutableSetOf<BackendServerId>()

    /** Whether any attempt reached a server; only attempts after that count against the retry budget. */
    var hasReachedServer = false
        private set

    val hasAny: Boolean get() = servers.isNotEmpty()

    val hasRemaining: Boolean get() = countListed(servers) < maximum

    /** Whether the request may run once more, though it may be running at [server] now. */
    fun hasRemainingBeside(server: BackendServerId): Boolean = countListed(servers + server) < maximum

    fun recordEnd(server: BackendServerId, end: AttemptEnd) {
        if (end != AttemptEnd.UNREACHABLE) hasReachedServer = true
        if (end.mayHaveExecuted) servers += server
    }

    private fun countListed(servers: Set<BackendServerId>): Int = servers.count { !isGone(it) }
}
