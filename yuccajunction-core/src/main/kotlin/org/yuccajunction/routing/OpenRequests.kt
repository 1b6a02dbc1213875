package org.yuccajunction.routing

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.WorkspaceId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts this entry's open requests per backend server and per workspace; safe for use by all traffic threads. */
public class OpenRequests {
    private val byServer = ConcurrentHashMap<BackendServerId, AtomicInteger>()
    private val byWorkspace = ConcurrentHashMap<WorkspaceId, AtomicInteger>()

    /** Returns how many requests are open at [server]. */
    public fun countAt(server: BackendServerId): Int = byServer[server]?.get() ?: 0

    /** Returns how many requests are open for [workspace]. */
    public fun countFor(workspace: WorkspaceId): Int = byWorkspace[workspace]?.get() ?: 0

    /** Returns how many requests are open at all backend servers. */
    public fun total(): Int = byServer.values.sumOf { it.get() }

    /** Acquires a permit at [server]; returns false where [limit] permits are already in use. */
    public fun tryAcquire(server: BackendServerId, limit: Int): Boolean =
        byServer.computeIfAbsent(server) { AtomicInteger() }.tryIncrement(limit)

    /** Releases a permit that [tryAcquire] acquired. */
    public fun release(server: BackendServerId) {
        val left = byServer.getValue(server).decrementAndGet()
        check(left >= 0) { "more permits released than acquired at server $server: open count $left" }
    }

    /** Acquires a permit for [workspace]; returns false where [limit] permits are already in use. */
    public fun tryAcquire(workspace: WorkspaceId, limit: Int): Boolean =
        byWorkspace.computeIfAbsent(workspace) { AtomicInteger() }.tryIncrement(limit)

    /** Releases a permit that [tryAcquire] acquired. */
    public fun release(workspace: WorkspaceId) {
        val left = byWorkspace.getValue(workspace).decrementAndGet()
        check(left >= 0) { "more permits released than acquired for workspace $workspace: open count $left" }
    }
}

private fun AtomicInteger.tryIncrement(limit: Int): Boolean {
    while (true) {
        val current = get()
        if (current >= limit) return false
        if (compareAndSet(current, current + 1)) return true
    }
}
