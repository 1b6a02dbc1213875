package org.yuccajunction.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The backend servers as the store lists them.
 *
 * While the store is unavailable, and shortly after, registrations expire of servers that are still alive. A server
 * whose registration vanishes in that time stays listed until a live server would have registered again, unless it was
 * draining.
 *
 * The list that follows a restore of the store is some seconds old: a server that has left since, or is draining, does
 * not return by it, but only by a registration of its own.
 */
public class ServerList {
    private var listed: PersistentMap<BackendServerId, BackendServer> = persistentMapOf()

    /** Time until which servers stay listed though their registration was removed. */
    private val keptUntil = HashMap<BackendServerId, MonotonicTime>()

    /** Time at which the registration of each server was removed that has left lately. */
    private val removedAt = HashMap<BackendServerId, MonotonicTime>()
    private var isListOutdated = false
    private var isStoreUnavailable = false
    private var storeReturnedAt: MonotonicTime? = null

    /** Servers that are registered, or whose registration expired too recently to conclude that they ended. */
    public val servers: PersistentMap<BackendServerId, BackendServer> get() = listed

    /** Records that the store has stopped answering. */
    public fun storeLost() {
        isStoreUnavailable = true
    }

    /** Records that the store answers again since [now]. */
    public fun storeReturned(now: MonotonicTime) {
        if (isStoreUnavailable) storeReturnedAt = now
        isStoreUnavailable = false
    }

    /** Records that the store has come back from an older copy, which the next list is of. */
    public fun storeRestored(now: MonotonicTime) {
        storeReturnedAt = now
        isListOutdated = true
    }

    /** Replaces all registrations by [servers]. */
    public fun replace(servers: Collection<BackendServer>, now: MonotonicTime) {
        val present = if (isListOutdated) withoutUndoneLeaving(servers) else servers
        isListOutdated = false
        val vanished = listed.keys - present.mapTo(HashSet()) { it.id }
        vanished.forEach { registrationRemoved(it, now) }
        present.forEach(::put)
    }

    private fun withoutUndoneLeaving(servers: Collection<BackendServer>): List<BackendServer> =
        servers.filter { it.id in listed || it.id !in removedAt }.map { server ->
            val isKnownToDrain = listed[server.id]?.let { it.isDraining && it.isSameIncarnation(server) } == true
            if (isKnownToDrain) server.copy(isDraining = true) else server
        }

    /**
     * Adds a server that was registered, or replaces its former registration.
     *
     * A registration that lacks the time of the start is of the incarnation that was known before.
     */
    public fun put(server: BackendServer) {
        keptUntil.remove(server.id)
        removedAt.remove(server.id)
        val known = listed[server.id]?.takeIf { it.endpoint == server.endpoint }
        val startedAtMillis = server.startedAtMillis ?: known?.startedAtMillis
        listed = listed.put(server.id, server.copy(startedAtMillis = startedAtMillis))
    }

    /** Records that the registration of a server was removed. */
    public fun registrationRemoved(id: BackendServerId, now: MonotonicTime) {
        val server = listed[id] ?: return
        val keepUntil = storeReturnedAt?.plus(REREGISTRATION_TIME)
        if (!server.isDraining && keepUntil != null && now < keepUntil) {
            keptUntil[id] = keepUntil
        } else {
            keptUntil.remove(id)
            removedAt[id] = now
            listed = listed.remove(id)
        }
    }

    /** Removes the servers that did not register again in time; returns whether any was removed. */
    public fun removeExpired(now: MonotonicTime): Boolean {
        removedAt.values.removeIf { now - it > MAX_COPY_AGE }
        val expired = keptUntil.filterValues { now >= it }.keys
        if (expired.isEmpty()) return false
        keptUntil.keys.removeAll(expired.toSet())
        listed = (listed - expired).toPersistentMap()
        return true
    }

    private companion object {
        /** Time after the return of the store within which live servers register again. */
        val REREGISTRATION_TIME: Duration = 2_100.milliseconds

        /** Greatest age of a copy that the store comes back from. */
        val MAX_COPY_AGE: Duration = 60.seconds
    }
}
