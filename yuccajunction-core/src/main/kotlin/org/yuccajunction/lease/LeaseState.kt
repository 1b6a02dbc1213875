package org.yuccajunction.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime

/**
 * All leases that this entry holds or tracks, by name.
 *
 * @property held the leases that this entry may act on, each until [HeldLease.usableUntil]
 * @property trackedLeases the state of every lease that this entry reads or writes
 * @property highestFencingNumber the highest fencing number seen in the object API or reported by a peer
 * @property writeCount number of writes to leases so far; makes each written record unique, so that a later read shows
 * which write took effect
 */
public data class LeaseState(
    public val held: PersistentMap<String, HeldLease> = persistentMapOf(),
    public val trackedLeases: PersistentMap<String, TrackedLease> = persistentMapOf(),
    public val highestFencingNumber: FencingNumber = FencingNumber(0),
    public val writeCount: Long = 0,
) {
    /**
     * Returns the fencing number of [lease] if this entry may act on it at [now], else null.
     *
     * Callers must check again with the current time right before they send an order, since the process may have been
     * paused after the decision.
     */
    public fun fencingNumber(lease: String, now: MonotonicTime): FencingNumber? =
        held[lease]?.takeIf { now < it.usableUntil }?.fencingNumber

    /** Returns this state with [number] as the highest fencing number if it is higher than all seen before. */
    public fun withObservedFencingNumber(number: FencingNumber): LeaseState = if (number >
        highestFencingNumber
    ) {
        copy(highestFencingNumber = number)
    } else {
        this
    }
}
