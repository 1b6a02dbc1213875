package org.yuccajunction.fleet

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps which backend servers have said in their answers that they want no new requests.
 *
 * A notice holds for one incarnation of a server, also where the store still lists it as ready, lists it without the
 * time of its start, or does not list it for a moment. Confined to the traffic thread.
 */
public class ServerNotices {
    private val leaving = HashSet<String>()
    private val pauses = HashMap<BackendServerId, Pause>()
    private val endedAt = HashMap<String, MonotonicTime>()
    private val unlistedSince = HashMap<String, MonotonicTime>()

    /** Records that [server] has said that it leaves; returns whether that was unknown. */
    public fun recordLeaving(server: BackendServer): Boolean = leaving.add(server.incarnation)

    /** Records the [incarnations] of servers that have said to a peer that they leave. */
    public fun recordLeavingIncarnations(incarnations: Collection<String>) {
        leaving += incarnations
    }

    /** Returns whether [server] has said that it leaves. */
    public fun isLeaving(server: BackendServer): Boolean {
        if (leaving.isEmpty()) return false
        if (server.startedAtMillis != null) return server.incarnation in leaving
        return leaving.any { it.substringBeforeLast('/') == server.id.value }
    }

    /** Returns the incarnations of servers that have said that they leave, for peers. */
    public fun leavingIncarnations(): List<String> = leaving.toList()

    /**
     * Records that [server] has rejected a request and wants no other from this entry for [pause] from [now] on.
     *
     * Of several pauses, the one that ends last holds.
     */
    public fun recordPause(server: BackendServer, pause: Duration, now: MonotonicTime) {
        val end = now + pause.coerceIn(Duration.ZERO, MAX_PAUSE)
        val known = pauses[server.id]?.takeIf { it.holdsFor(server) }
        if (known == null || known.end < end) pauses[server.id] = Pause(server.startedAtMillis, end)
    }

    /** Returns the time until the pause that [server] asked for is over, null if there is none at [now]. */
    public fun pauseLeft(server: BackendServer, now: MonotonicTime): Duration? {
        val pause = pauses[server.id]?.takeIf { it.holdsFor(server) } ?: return null
        return (pause.end - now).takeIf { it.isPositive() }
    }

    /** Records that the server [incarnation] ended at [time]; the store goes on listing it for a while. */
    public fun recordEnded(incarnation: String, time: MonotonicTime) {
        endedAt[incarnation] = time
    }

    /** Returns whether [server], which last sent something at [receivedAt], neither asked for a pause nor has ended. */
    public fun permits(server: BackendServer, receivedAt: MonotonicTime, now: MonotonicTime): Boolean =
        pauseLeft(server, now) == null && !hasEnded(server, receivedAt, now)

    private fun hasEnded(server: BackendServer, receivedAt: MonotonicTime, now: MonotonicTime): Boolean {
        if (endedAt.isEmpty()) return false
        val end = endedAt[server.incarnation] ?: return false
        return receivedAt <= end && now - end < END_VALIDITY
    }

    /** Forgets pauses that are over, and the notices of incarnations that are long gone from [servers]. */
    public fun retainServers(servers: Collection<BackendServer>, now: MonotonicTime) {
        pauses.values.removeIf { it.end <= now }
        if (leaving.isEmpty() && endedAt.isEmpty()) return
        val listed = servers.mapTo(HashSet()) { it.incarnation }
        val unlisted = (leaving + endedAt.keys) - listed
        unlistedSince.keys.retainAll(unlisted)
        unlisted.forEach { unlistedSince.putIfAbsent(it, now) }
        val gone = unlistedSince.filterValues { now - it > UNLISTED_VALIDITY }.keys.toSet()
        leaving -= gone
        endedAt.keys -= gone
    }

    /** The end of a pause for the incarnation that started at [startedAtMillis], null if that is unknown. */
    private class Pause(val startedAtMillis: Long?, val end: MonotonicTime) {
        fun holdsFor(server: BackendServer): Boolean =
            startedAtMillis == null || server.startedAtMillis == null || startedAtMillis == server.startedAtMillis
    }

    private companion object {
        /** Longest pause, so that a senseless figure can be added to a time. */
        val MAX_PAUSE = 1.days

        /** Time within which the store no longer lists a server that has ended. */
        val END_VALIDITY = 10.seconds

        /** Time for which the store may not list a server that goes on running. */
        val UNLISTED_VALIDITY = 2.minutes
    }
}
