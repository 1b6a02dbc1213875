package org.yuccajunction.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime

/**
 * The leases that this entry holds and follows, by name.
 *
 * @property held the leases that may be acted on until their time
 * @property trackedLeases what is known of every lease that this entry has to do with
 * @property highestFencingNumber the highest fencing number heard of, from the object API or any peer
 * @property writeCount number of writes to leases so far, so that each is told from the others when read back
 */
public data class LeaseState(
    public val held: PersistentMap<String, HeldLease> = persistentMapOf(),
    public val trackedLeases: PersistentMap<String, TrackedLease> = persistentMapOf(),
    public val highestFencingNumber: FencingNumber = FencingNumber(0),
    public val writeCount: Long = 0,
) {
    /**
     * Returns the fencing number of [lease] while it may be acted on at [now], else null.
     *
     * Whoever acts on a lease asks again right before the order leaves, with the time of that moment: the process may
     * have been paused since the decision.
     */
    public fun fencingNumber(lease: String, now: MonotonicTime): FencingNumber? =
        held[lease]?.takeIf { now < it.usableUntil }?.fencingNumber

    /** Returns this state after hearing of [number] as the fencing number of some lease. */
    public fun withObservedFencingNumber(number: FencingNumber): LeaseState = if (number >
        highestFencingNumber
    ) {
        copy(highestFencingNumber = number)
    } else {
        this
    }
}
