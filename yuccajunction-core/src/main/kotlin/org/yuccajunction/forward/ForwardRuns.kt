package org.yuccajunction.forward

import org.yuccajunction.model.BackendServerId

/** The servers at which one request may have run; those that are gone don't count against its route's bound. */
internal class ForwardRuns(private val maximum: Int, private val isGone: (BackendServerId) -> Boolean) {
    private val servers = mutableSetOf<BackendServerId>()

    /** Whether any attempt reached a server; only attempts after that count against the retry budget. */
    var hasArrived = false
        private set

    val hasAny: Boolean get() = servers.isNotEmpty()

    val hasLeft: Boolean get() = counted(servers) < maximum

    /** Whether the request may run once more, though it may be running at [server] now. */
    fun hasLeftBeside(server: BackendServerId): Boolean = counted(servers + server) < maximum

    fun ended(server: BackendServerId, end: AttemptEnd) {
        if (end != AttemptEnd.UNREACHABLE) hasArrived = true
        if (end.mayHaveRun) servers += server
    }

    private fun counted(servers: Set<BackendServerId>): Int = servers.count { !isGone(it) }
}
