package org.yuccajunction.routing

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.WorkspaceId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts this entry's open requests per backend server and per workspace, safely from every traffic thread. */
public class OpenRequests {
    private val byServer = ConcurrentHashMap<BackendServerId, AtomicInteger>()
    private val byWorkspace = ConcurrentHashMap<WorkspaceId, AtomicInteger>()

    /** Returns the requests open at [server]. */
    public fun countAt(server: BackendServerId): Int = byServer[server]?.get() ?: 0

    /** Returns the requests open for [workspace]. */
    public fun countFor(workspace: WorkspaceId): Int = byWorkspace[workspace]?.get() ?: 0

    /** Returns all requests open at backend servers. */
    public fun total(): Int = byServer.values.sumOf { it.get() }

    /** Takes a permit at [server]; returns false and takes none where [limit] are already taken. */
    public fun tryAcquire(server: BackendServerId, limit: Int): Boolean =
        byServer.computeIfAbsent(server) { AtomicInteger() }.tryIncrement(limit)

    /** Returns a permit that [tryAcquire] took. */
    public fun release(server: BackendServerId) {
        val left = byServer.getValue(server).decrementAndGet()
        check(left >= 0) { "more permits returned than taken at $server: $left" }
    }

    /** Takes a permit for [workspace]; returns false and takes none where [limit] are already taken. */
    public fun tryAcquire(workspace: WorkspaceId, limit: Int): Boolean =
        byWorkspace.computeIfAbsent(workspace) { AtomicInteger() }.tryIncrement(limit)

    /** Returns a permit that [tryAcquire] took. */
    public fun release(workspace: WorkspaceId) {
        val left = byWorkspace.getValue(workspace).decrementAndGet()
        check(left >= 0) { "more permits returned than taken for $workspace: $left" }
    }
}

private fun AtomicInteger.tryIncrement(limit: Int): Boolean {
    while (true) {
        val current = get()
        if (current >= limit) return false
        if (compareAndSet(current, current + 1)) return true
    }
}
