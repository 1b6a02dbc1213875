package org.yuccajunction.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The backend servers as the store lists them.
 *
 * While the store is unavailable, and shortly after, registrations expire of servers that are still alive. A server
 * whose registration vanishes in that time stays listed until a live server would have registered again, unless it was
 * draining.
 */
public class ServerList {
    private var listed: PersistentMap<BackendServerId, BackendServer> = persistentMapOf()

    /** Time until which servers stay listed though their registration was removed. */
    private val keptUntil = HashMap<BackendServerId, MonotonicTime>()
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

    /** Replaces all registrations by [servers]. */
    public fun replace(servers: Collection<BackendServer>, now: MonotonicTime) {
        val vanished = listed.keys - servers.mapTo(HashSet()) { it.id }
        vanished.forEach { registrationRemoved(it, now) }
        servers.forEach(::put)
    }

    /**
     * Adds a server that was registered, or replaces its former registration.
     *
     * A registration that lacks the time of the start is of the incarnation that was known before.
     */
    public fun put(server: BackendServer) {
        keptUntil.remove(server.id)
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
            listed = listed.remove(id)
        }
    }

    /** Removes the servers that did not register again in time; returns whether any was removed. */
    public fun removeExpired(now: MonotonicTime): Boolean {
        val expired = keptUntil.filterValues { now >= it }.keys
        if (expired.isEmpty()) return false
        keptUntil.keys.removeAll(expired.toSet())
        listed = (listed - expired).toPersistentMap()
        return true
    }

    private companion object {
        /** Time after the return of the store within which live servers register again. */
        val REREGISTRATION_TIME: Duration = 2_100.milliseconds
    }
}
