package org.yuccajunction.lease

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectVersion
import kotlin.time.Duration

/**
 * Decides when one lease is read, taken over, renewed and released.
 *
 * An entry acquires and keeps a lease only by conditional writes of the lease object. The holder counts
 * [LeaseSettings.usableDuration] from the moment at which it sent the last write. Another entry takes the lease over
 * only after it has seen the object unchanged for [LeaseSettings.duration], and the object API rejects that write if
 * the object has changed in the meantime.
 *
 * A new holder doesn't act before its takeover delay has passed: [LeaseSettings.usableDuration] plus
 * [LeaseSettings.orderTimeout] after the object API confirmed its write. By then the previous holder has stopped acting
 * and its last orders have ended, even if the object API was restored to an older state.
 *
 * Each entry measures durations by its own monotonic clock only. A paused process can only lose time for which it may
 * act on a lease, never gain any.
 *
 * @param self this entry
 */
internal class LeaseProtocol(private val self: EntryIncarnation, private val settings: LeaseSettings) {
    /** Returns the read, renewal or release that is due for the lease [name] at [now], if any. */
    fun dueCall(name: String, state: LeaseState, role: () -> LeaseRole, now: MonotonicTime): LeaseCall? {
        val lease = state.trackedLeases[name] ?: TrackedLease()
        val mustWait = lease.pendingCall != null || (lease.nextCallAt != null && now < lease.nextCallAt)
        return when {
            mustWait -> null
            lease.unconfirmedWrite != null -> LeaseCall.Read(now)
            lease.renewalSentAt != null -> dueRenewalOrRelease(name, state, lease, role(), now)
            role() == LeaseRole.CANDIDATE -> LeaseCall.Read(now)
            else -> null
        }
    }

    private fun dueRenewalOrRelease(
        name: String,
        state: LeaseState,
        lease: TrackedLease,
        role: LeaseRole,
        now: MonotonicTime,
    ): LeaseCall? {
        val version = lease.observedVersion ?: return null
        val number = fencingNumber(state, lease, now) ?: return null
        val holder = if (role == LeaseRole.LEAVING) null else self
        val record = LeaseRecord(name, holder, number, renewals = state.writeCount + 1)
        return LeaseCall.Write(now, record, ExpectedVersion.Is(version))
    }

    /**
     * Returns the fencing number for the next renewal.
     *
     * When this entry has since observed a higher number, it raises its own during the takeover delay, before it has
     * acted under the lower one.
     */
    private fun fencingNumber(state: LeaseState, lease: TrackedLease, now: MonotonicTime): FencingNumber? {
        val number = lease.record?.fencingNumber ?: return null
        val isTooLow = isInTakeoverDelay(lease, now) && state.highestFencingNumber > number
        return if (isTooLow) FencingNumber(state.highestFencingNumber.value + 1) else number
    }

    private fun isInTakeoverDelay(lease: TrackedLease, now: MonotonicTime): Boolean =
        lease.acquiredAt == null || now - lease.acquiredAt < settings.usableDuration + settings.orderTimeout

    /** Returns the write that takes over the lease [name] if the lease is free or its holder stopped renewing it. */
    fun dueTakeover(name: String, state: LeaseState, role: () -> LeaseRole, now: MonotonicTime): LeaseCall.Write? {
        val lease = state.trackedLeases[name] ?: return null
        val unchangedSince = lease.unchangedSince ?: return null
        val isFree = lease.pendingCall == null && lease.unconfirmedWrite == null && lease.renewalSentAt == null
        if (!isFree || now - unchangedSince < requiredUnchangedTime(lease) || role() != LeaseRole.CANDIDATE) return null
        val number = FencingNumber(state.highestFencingNumber.value + 1)
        val record = LeaseRecord(name, self, number, renewals = state.writeCount + 1)
        val expected = lease.observedVersion?.let(ExpectedVersion::Is) ?: ExpectedVersion.Absent
        return LeaseCall.Write(now, record, expected)
    }

    /** Returns how long this entry must have seen the lease unchanged before it may take it over. */
    private fun requiredUnchangedTime(lease: TrackedLease): Duration =
        if (lease.record?.holder == null) Duration.ZERO else settings.duration

    /** Returns [lease] after a read found [record] in [version]; both are null if there is no lease object. */
    fun afterRead(
        lease: TrackedLease,
        version: ObjectVersion?,
        record: LeaseRecord?,
        now: MonotonicTime,
    ): TrackedLease {
        val answered = lease.copy(pendingCall = null, nextCallAt = now + settings.pollingInterval)
        val unconfirmedWrite = lease.unconfirmedWrite
        return when {
            unconfirmedWrite != null && record == unconfirmedWrite.record ->
                afterWrite(lease, unconfirmedWrite, version ?: return answered, now)
            lease.renewalSentAt != null && isOwn(lease, record) ->
                answered.copy(observedVersion = version, record = record, unconfirmedWrite = null, nextCallAt = null)
            version == lease.observedVersion && lease.unchangedSince != null -> answered.copy(unconfirmedWrite = null)
            else -> lease.withNewObservation(version, record, now).copy(nextCallAt = now + settings.pollingInterval)
        }
    }

    private fun isOwn(lease: TrackedLease, record: LeaseRecord?): Boolean =
        record != null && record.holder == self && record.fencingNumber == lease.record?.fencingNumber

    /** Returns [lease] after [write] took effect as [version]. */
    fun afterWrite(
        lease: TrackedLease,
        write: LeaseCall.Write,
        version: ObjectVersion,
        now: MonotonicTime,
    ): TrackedLease {
        val isOwned = write.record.holder == self
        return TrackedLease(
            observedVersion = version,
            unchangedSince = now,
            record = write.record,
            renewalSentAt = if (isOwned) write.sentAt else null,
            acquiredAt = if (isOwned) lease.acquiredAt ?: now else null,
            nextCallAt = if (isOwned) write.sentAt + settings.renewalInterval else now + settings.pollingInterval,
        )
    }

    /** Returns [lease] after its pending call had no effect; the next call follows after the retry interval. */
    fun afterFailure(lease: TrackedLease, now: MonotonicTime): TrackedLease =
        lease.copy(pendingCall = null, nextCallAt = now + settings.retryInterval)

    /** Returns [lease] after [write] met a conflict or had an unknown outcome; the next call reads the result at once. */
    fun afterUnknownOutcome(lease: TrackedLease, write: LeaseCall.Write): TrackedLease =
        lease.copy(pendingCall = null, unconfirmedWrite = write, nextCallAt = null)

    /** Returns [lease] as of [now]: an entry that could not renew it for the lease duration no longer holds it. */
    fun afterExpiry(lease: TrackedLease, now: MonotonicTime): TrackedLease {
        val renewalSentAt = lease.renewalSentAt ?: return lease
        if (now - renewalSentAt < settings.duration) return lease
        return TrackedLease(pendingCall = lease.pendingCall)
    }

    /** Returns [lease] as a lease that this entry may act on at [now]; null if this entry may not. */
    fun usableLease(lease: TrackedLease, now: MonotonicTime): HeldLease? {
        val renewalSentAt = lease.renewalSentAt ?: return null
        val record = lease.record ?: return null
        val usableUntil = renewalSentAt + settings.usableDuration
        val isReleasing =
            (lease.pendingCall as? LeaseCall.Write)?.record?.holder == null && lease.pendingCall is LeaseCall.Write
        val mayBeReleased =
            isReleasing || (lease.unconfirmedWrite != null && lease.unconfirmedWrite.record.holder == null)
        val isUsable = now < usableUntil && !mayBeReleased && !isInTakeoverDelay(lease, now)
        return HeldLease(record.fencingNumber, usableUntil).takeIf { isUsable }
    }
}
