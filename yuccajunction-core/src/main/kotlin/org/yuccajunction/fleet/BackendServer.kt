package org.yuccajunction.fleet

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName

/**
 * One backend server as the platform lists it.
 *
 * @property version version of the software that the server runs
 * @property slots requests that the server executes at once
 * @property isDraining whether the server is going away in an orderly way and takes no new requests
 * @property coldUntil end of the cold start, null if the server is warm; a cold server can take only the
 * rate of requests that its service sets for cold servers
 * @property startedAtMillis Unix time of the start of the server in milliseconds, null if unknown
 * @property isReclaimable whether the platform may reclaim the instance of the server
 * @property leavesAt time by which the server will have left, null if unknown
 */
public data class BackendServer(
    public val id: BackendServerId,
    public val service: ServiceName,
    public val endpoint: Endpoint,
    public val availabilityZone: AvailabilityZone,
    public val version: String = "",
    public val slots: Int = 1,
    public val isDraining: Boolean = false,
    public val coldUntil: MonotonicTime? = null,
    public val startedAtMillis: Long? = null,
    public val isReclaimable: Boolean = false,
    public val leavesAt: MonotonicTime? = null,
) {
    /** Whether this is another entry, which forwards the request to a server that it reaches. */
    public val isPeerEntry: Boolean get() = id.isPeerEntry

    /** Returns whether the server is cold at [now]. */
    public fun isCold(now: MonotonicTime): Boolean = coldUntil != null && now < coldUntil

    /** Identifies this incarnation of the server among all that had its identity. */
    public val incarnation: String get() = "$id/${startedAtMillis ?: 0}"

    /** Returns whether [other] is the same incarnation of the same server. */
    public fun isSameIncarnation(other: BackendServer): Boolean =
        id == other.id && endpoint == other.endpoint && startedAtMillis == other.startedAtMillis
}
