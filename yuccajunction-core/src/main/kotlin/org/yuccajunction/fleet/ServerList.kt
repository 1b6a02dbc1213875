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
 * While the store is away, and shortly after its return, registrations lapse of servers that live on. What vanishes in
 * that time is kept until such a server would have registered again, unless it had said that it leaves.
 */
public class ServerList {
    private var listed: PersistentMap<BackendServerId, BackendServer> = persistentMapOf()
    private val keptUntil = HashMap<BackendServerId, MonotonicTime>()
    private var isStoreUnavailable = false
    private var storeReturnedAt: MonotonicTime? = null

    /** The servers that are believed to be there. */
    public val servers: PersistentMap<BackendServerId, BackendServer> get() = listed

    /** The store stopped answering. */
    public fun storeLost() {
        isStoreUnavailable = true
    }

    /** The store answers again since [now]. */
    public fun storeReturned(now: MonotonicTime) {
        if (isStoreUnavailable) storeReturnedAt = now
        isStoreUnavailable = false
    }

    /** Takes over a whole list. */
    public fun replace(servers: Collection<BackendServer>, now: MonotonicTime) {
        val vanished = listed.keys - servers.mapTo(HashSet()) { it.id }
        vanished.forEach { registrationRemoved(it, now) }
        servers.forEach(::put)
    }

    /** A server was registered or told something new. */
    public fun put(server: BackendServer) {
        keptUntil.remove(server.id)
        listed = listed.put(server.id, server)
    }

    /** The registration of a server was removed. */
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

    /** Drops what has been kept for long enough; returns whether anything changed. */
    public fun removeExpired(now: MonotonicTime): Boolean {
        val expired = keptUntil.filterValues { now >= it }.keys
        if (expired.isEmpty()) return false
        keptUntil.keys.removeAll(expired.toSet())
        listed = (listed - expired).toPersistentMap()
        return true
    }

    private companion object {
        /** Time in which servers whose registration lapsed with the store away are back. */
        val REREGISTRATION_TIME: Duration = 2_100.milliseconds
    }
}
