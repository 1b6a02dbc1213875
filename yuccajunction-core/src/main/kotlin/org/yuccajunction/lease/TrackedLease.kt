package org.yuccajunction.lease

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectVersion

/**
 * What this entry knows of one lease.
 *
 * @property observedVersion version of the lease object as last seen; null while it is absent or was not seen
 * @property unchangedSince when this entry first saw the lease as it is, by its own clock; null before the first
 * reading
 * @property record content of the lease as last seen
 * @property renewalSentAt when the last write by which this entry holds the lease was begun; null where it holds none
 * @property acquiredAt when this entry knew that it had taken the lease over; null where it does not hold it
 * @property pendingCall the call under way, null while there is none
 * @property unconfirmedWrite a write whose outcome is to be read back
 * @property nextCallAt when the next call is due, null for at once
 */
public data class TrackedLease(
    public val observedVersion: ObjectVersion? = null,
    public val unchangedSince: MonotonicTime? = null,
    public val record: LeaseRecord? = null,
    public val renewalSentAt: MonotonicTime? = null,
    public val acquiredAt: MonotonicTime? = null,
    public val pendingCall: LeaseCall? = null,
    public val unconfirmedWrite: LeaseCall.Write? = null,
    public val nextCallAt: MonotonicTime? = null,
) {
    /** Returns the state after the lease was found to be another's or lost, with [unchangedSince] set anew. */
    internal fun withNewObservation(version: ObjectVersion?, record: LeaseRecord?, now: MonotonicTime): TrackedLease =
        TrackedLease(observedVersion = version, unchangedSince = now, record = record)
}
