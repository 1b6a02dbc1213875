package org.yuccajunction.lease

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectVersion
import kotlin.time.Duration

/**
 * The rules of holding, renewing, giving up and taking over one lease.
 *
 * Rights come from conditional writes of the lease object alone. The holder counts its time from before each write was
 * sent; another entry counts the full time from when it first saw that write, and its own write fails if there was
 * another since. Even then it acts only after a former holder's time and orders under way have run out, counted from
 * its own write, so that a store which was restored to an older state can't lead to two holders. No clocks are
 * compared, and a pause of either side shortens rights and never extends them.
 *
 * @param self this entry
 */
internal class LeaseProtocol(private val self: EntryIncarnation, private val settings: LeaseSettings) {
    /** Returns the call that is due for the lease [name] at [now], if any. */
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

    /** Returns the number for the next renewal; one that proves too low is raised before it was ever acted on. */
    private fun fencingNumber(state: LeaseState, lease: TrackedLease, now: MonotonicTime): FencingNumber? {
        val number = lease.record?.fencingNumber ?: return null
        val isTooLow = isInTakeoverDelay(lease, now) && state.highestFencingNumber > number
        return if (isTooLow) FencingNumber(state.highestFencingNumber.value + 1) else number
    }

    private fun isInTakeoverDelay(lease: TrackedLease, now: MonotonicTime): Boolean =
        lease.acquiredAt == null || now - lease.acquiredAt < settings.usableDuration + settings.orderTimeout

    /** Returns the write that takes over the lease [name], where nobody renewed it for the full time. */
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

    /** Returns how long a lease must be seen unchanged before it is taken over. */
    private fun requiredUnchangedTime(lease: TrackedLease): Duration =
        if (lease.record?.holder == null) Duration.ZERO else settings.duration

    /** Returns [lease] after a reading found [record] in [version], or no lease at all. */
    fun afterRead(
        lease: TrackedLease,
        version: ObjectVersion?,
        record: LeaseRecord?,
        now: MonotonicTime,
    ): TrackedLease {
        val answered = lease.copy(pendingCall = null, nextCallAt = now + settings.pollingInterval)
        val unconfirmedWrite = lease.unconfirmedWrite
        return when {
            unconfirmedWrite != null && record == unconfirmedWrite.record -> afterWrite(
                lease,
                unconfirmedWrite,
                version ?: return answered,
                now,
            )
            lease.renewalSentAt != null && isOwn(lease, record) ->
                answered.copy(observedVersion = version, record = record, unconfirmedWrite = null, nextCallAt = null)
            version == lease.observedVersion && lease.unchangedSince != null -> answered.copy(unconfirmedWrite = null)
            else -> lease.withNewObservation(version, record, now).copy(nextCallAt = now + settings.pollingInterval)
        }
    }

    private fun isOwn(lease: TrackedLease, record: LeaseRecord?): Boolean =
        record != null && record.holder == self && record.fencingNumber == lease.record?.fencingNumber

    /** Returns the state after [write] took effect as [version]. */
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

    /** Returns [lease] after its pending call came to nothing; the call is repeated or read back. */
    fun afterFailure(lease: TrackedLease, now: MonotonicTime): TrackedLease =
        lease.copy(pendingCall = null, nextCallAt = now + settings.retryInterval)

    /** Returns [lease] after the outcome of [write] can't be told; it is read back at once. */
    fun afterUnknownOutcome(lease: TrackedLease, write: LeaseCall.Write): TrackedLease =
        lease.copy(pendingCall = null, unconfirmedWrite = write, nextCallAt = null)

    /** Returns [lease] as of [now]: a holder that could not renew for the full time has lost the lease. */
    fun afterExpiry(lease: TrackedLease, now: MonotonicTime): TrackedLease {
        val renewalSentAt = lease.renewalSentAt ?: return lease
        if (now - renewalSentAt < settings.duration) return lease
        return TrackedLease(pendingCall = lease.pendingCall)
    }

    /** Returns the lease as this entry may act on it after [lease], null where it holds none. */
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
