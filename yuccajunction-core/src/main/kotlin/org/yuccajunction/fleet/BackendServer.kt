package org.yuccajunction.fleet

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName

/**
 * One backend server as the platform's list tells of it.
 *
 * @property version version of its software
 * @property slots requests that it runs at once
 * @property isDraining whether it takes no new requests
 * @property coldUntil until when it bears only the cold rate of its service, null where it is warm
 * @property startedAtMillis Unix time of its start in milliseconds, null where it is not told
 * @property isReclaimable whether the platform may take it away
 * @property leavesAt when it will have left, null where that is not known
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
    /** Whether the server is cold at [now]. */
    public fun isCold(now: MonotonicTime): Boolean = coldUntil != null && now < coldUntil

    /** Whether [other] is the same run of the same server. */
    public fun isSameIncarnation(other: BackendServer): Boolean =
        id == other.id && endpoint == other.endpoint && startedAtMillis == other.startedAtMillis
}
