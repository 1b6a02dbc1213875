package org.yuccajunction.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime

/** The leases that this entry holds, by name. */
public data class LeaseState(public val held: PersistentMap<String, HeldLease> = persistentMapOf()) {
    /** Returns the fencing number of [lease] while it may be acted on at [now], else null. */
    public fun fencingNumber(lease: String, now: MonotonicTime): FencingNumber? =
        held[lease]?.takeIf { now < it.usableUntil }?.fencingNumber
}
