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
    fun callDue(name: String, state: LeaseState, role: () -> LeaseRole, now: MonotonicTime): LeaseCall? {
        val track = state.tracks[name] ?: LeaseTrack()
        val waits = track.pending != null || (track.nextAt != null && now < track.nextAt)
        return when {
            waits -> null
            track.unclear != null -> LeaseCall.Read(now)
            track.ownedSince != null -> ownCall(name, state, track, role(), now)
            role() == LeaseRole.CANDIDATE -> LeaseCall.Read(now)
            else -> null
        }
    }

    private fun ownCall(
        name: String,
        state: LeaseState,
        track: LeaseTrack,
        role: LeaseRole,
        now: MonotonicTime,
    ): LeaseCall? {
        val version = track.observed ?: return null
        val number = fencingNumber(state, track, now) ?: return null
        val holder = if (role == LeaseRole.LEAVING) null else self
        val record = LeaseRecord(name, holder, number, renewals = state.attempts + 1)
        return LeaseCall.Write(now, record, ExpectedVersion.Is(version))
    }

    /** Returns the number for the next renewal; one that proves too low is raised before it was ever acted on. */
    private fun fencingNumber(state: LeaseState, track: LeaseTrack, now: MonotonicTime): FencingNumber? {
        val number = track.record?.fencingNumber ?: return null
        val isTooLow = isWaiting(track, now) && state.highest > number
        return if (isTooLow) FencingNumber(state.highest.value + 1) else number
    }

    private fun isWaiting(track: LeaseTrack, now: MonotonicTime): Boolean =
        track.takenAt == null || now - track.takenAt < settings.usable + settings.orderTimeout

    /** Returns the write that takes over the lease [name], where nobody renewed it for the full time. */
    fun takeOverDue(name: String, state: LeaseState, role: () -> LeaseRole, now: MonotonicTime): LeaseCall.Write? {
        val track = state.tracks[name] ?: return null
        val observedAt = track.observedAt ?: return null
        val isFree = track.pending == null && track.unclear == null && track.ownedSince == null
        if (!isFree || now - observedAt < patience(track) || role() != LeaseRole.CANDIDATE) return null
        val number = FencingNumber(state.highest.value + 1)
        val record = LeaseRecord(name, self, number, renewals = state.attempts + 1)
        val expected = track.observed?.let(ExpectedVersion::Is) ?: ExpectedVersion.Absent
        return LeaseCall.Write(now, record, expected)
    }

    /** Returns how long a lease must be seen unchanged before it is taken over. */
    private fun patience(track: LeaseTrack): Duration =
        if (track.record?.holder == null) Duration.ZERO else settings.duration

    /** Returns [track] after a reading found [record] in [version], or no lease at all. */
    fun read(track: LeaseTrack, version: ObjectVersion?, record: LeaseRecord?, now: MonotonicTime): LeaseTrack {
        val answered = track.copy(pending = null, nextAt = now + settings.polling)
        val unclear = track.unclear
        return when {
            unclear != null && record == unclear.record -> written(track, unclear, version ?: return answered, now)
            track.ownedSince != null && isOwn(track, record) ->
                answered.copy(observed = version, record = record, unclear = null, nextAt = null)
            version == track.observed && track.observedAt != null -> answered.copy(unclear = null)
            else -> track.seenAnew(version, record, now).copy(nextAt = now + settings.polling)
        }
    }

    private fun isOwn(track: LeaseTrack, record: LeaseRecord?): Boolean =
        record != null && record.holder == self && record.fencingNumber == track.record?.fencingNumber

    /** Returns the state after [write] took effect as [version]. */
    fun written(track: LeaseTrack, write: LeaseCall.Write, version: ObjectVersion, now: MonotonicTime): LeaseTrack {
        val isOwned = write.record.holder == self
        return LeaseTrack(
            observed = version,
            observedAt = now,
            record = write.record,
            ownedSince = if (isOwned) write.sentAt else null,
            takenAt = if (isOwned) track.takenAt ?: now else null,
            nextAt = if (isOwned) write.sentAt + settings.renewal else now + settings.polling,
        )
    }

    /** Returns [track] after its pending call came to nothing; the call is repeated or read back. */
    fun failed(track: LeaseTrack, now: MonotonicTime): LeaseTrack =
        track.copy(pending = null, nextAt = now + settings.retry)

    /** Returns [track] after the outcome of [write] can't be told; it is read back at once. */
    fun doubted(track: LeaseTrack, write: LeaseCall.Write): LeaseTrack =
        track.copy(pending = null, unclear = write, nextAt = null)

    /** Returns [track] as of [now]: a holder that could not renew for the full time has lost the lease. */
    fun aged(track: LeaseTrack, now: MonotonicTime): LeaseTrack {
        val ownedSince = track.ownedSince ?: return track
        if (now - ownedSince < settings.duration) return track
        return LeaseTrack(pending = track.pending)
    }

    /** Returns the lease as this entry may act on it after [track], null where it holds none. */
    fun held(track: LeaseTrack, now: MonotonicTime): HeldLease? {
        val ownedSince = track.ownedSince ?: return null
        val record = track.record ?: return null
        val usableUntil = ownedSince + settings.usable
        val givesUp = (track.pending as? LeaseCall.Write)?.record?.holder == null && track.pending is LeaseCall.Write
        val mayBeGivenUp = givesUp || (track.unclear != null && track.unclear.record.holder == null)
        val isUsable = now < usableUntil && !mayBeGivenUp && !isWaiting(track, now)
        return HeldLease(record.fencingNumber, usableUntil).takeIf { isUsable }
    }
}
