package org.yuccajunction.lease

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectVersion

/**
 * What this entry knows of one lease.
 *
 * @property observed version of the lease object as last seen; null while it is absent or was not seen
 * @property observedAt when this entry first saw the lease as it is, by its own clock; null before the first reading
 * @property record content of the lease as last seen
 * @property ownedSince when the last write by which this entry holds the lease was begun; null where it holds none
 * @property takenAt when this entry knew that it had taken the lease over; null where it does not hold it
 * @property pending the call under way, null while there is none
 * @property unclear a write whose outcome is to be read back
 * @property nextAt when the next call is due, null for at once
 */
public data class LeaseTrack(
    public val observed: ObjectVersion? = null,
    public val observedAt: MonotonicTime? = null,
    public val record: LeaseRecord? = null,
    public val ownedSince: MonotonicTime? = null,
    public val takenAt: MonotonicTime? = null,
    public val pending: LeaseCall? = null,
    public val unclear: LeaseCall.Write? = null,
    public val nextAt: MonotonicTime? = null,
) {
    /** Returns the state after the lease was found to be another's or lost, with [observedAt] set anew. */
    internal fun seenAnew(version: ObjectVersion?, record: LeaseRecord?, now: MonotonicTime): LeaseTrack =
        LeaseTrack(observed = version, observedAt = now, record = record)
}
