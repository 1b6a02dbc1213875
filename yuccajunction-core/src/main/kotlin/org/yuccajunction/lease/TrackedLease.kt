package org.yuccajunction.lease

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectVersion

/**
 * The state of one lease as this entry knows it.
 *
 * @property observedVersion version of the lease object at the last read or write; null if it was absent or not read
 * @property unchangedSince when this entry first saw the lease object in its current version, by its own clock; null
 * before the first read
 * @property record content of the lease object at the last read or write
 * @property renewalSentAt when this entry sent the last write that took or renewed the lease; null if it doesn't hold
 * the lease
 * @property acquiredAt when this entry learned that its takeover succeeded; null if it doesn't hold the lease
 * @property pendingCall the call in flight, null if there is none
 * @property unconfirmedWrite a write whose outcome this entry has yet to read from the lease object
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
    /** Returns the state after a read found another entry's write or no object; this entry doesn't hold the lease. */
    internal fun withNewObservation(version: ObjectVersion?, record: LeaseRecord?, now: MonotonicTime): TrackedLease =
        TrackedLease(observedVersion = version, unchangedSince = now, record = record)
}
