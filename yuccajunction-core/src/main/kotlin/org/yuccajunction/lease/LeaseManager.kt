package org.yuccajunction.lease

import arrow.core.Either
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectWriting

/**
 * Applies [LeaseProtocol] to all leases that an entry tracks, and keeps the result in a [LeaseState].
 *
 * @param self this entry
 */
public class LeaseManager(self: EntryIncarnation, settings: LeaseSettings = LeaseSettings()) {
    private val protocol = LeaseProtocol(self, settings)

    /** Returns the state as of [now] and the object API call that is due for the lease [name], if any. */
    public fun nextStep(state: LeaseState, name: String, role: () -> LeaseRole, now: MonotonicTime): LeaseStep {
        val current = state.withTrackedLease(
            name,
            protocol.afterExpiry(state.trackedLeases[name] ?: TrackedLease(), now),
            now,
        )
        val call = protocol.dueTakeover(name, current, role, now) ?: protocol.dueCall(name, current, role, now)
        return if (call == null) LeaseStep(current) else LeaseStep(current.withPendingCall(name, call, now), call)
    }

    /** Returns the state after the object API answered the pending read of the lease [name] with [reading]. */
    public fun afterRead(state: LeaseState, name: String, reading: ObjectReading, now: MonotonicTime): LeaseState {
        val lease = state.trackedLeases[name] ?: return state
        if (lease.pendingCall !is LeaseCall.Read) return state
        return when (reading) {
            is ObjectReading.Found -> {
                val record = decode(reading.stored.value.orEmpty())
                val observed = record?.let { state.withObservedFencingNumber(it.fencingNumber) } ?: state
                observed.withTrackedLease(name, protocol.afterRead(lease, reading.stored.version, record, now), now)
            }
            ObjectReading.Absent -> state.withTrackedLease(name, protocol.afterRead(lease, null, null, now), now)
            is ObjectReading.Unavailable -> state.withTrackedLease(name, protocol.afterFailure(lease, now), now)
        }
    }

    /** Returns the state after the object API answered the pending write of the lease [name] with [writing]. */
    public fun afterWrite(state: LeaseState, name: String, writing: ObjectWriting, now: MonotonicTime): LeaseState {
        val lease = state.trackedLeases[name] ?: return state
        val write = lease.pendingCall as? LeaseCall.Write ?: return state
        val next =
            when (writing) {
                is ObjectWriting.Written -> protocol.afterWrite(lease, write, writing.version, now)
                ObjectWriting.Conflict, is ObjectWriting.Unknown -> protocol.afterUnknownOutcome(lease, write)
                is ObjectWriting.Refused -> protocol.afterFailure(lease, now)
            }
        return state.withObservedFencingNumber(write.record.fencingNumber).withTrackedLease(name, next, now)
    }

    private fun LeaseState.withPendingCall(name: String, call: LeaseCall, now: MonotonicTime): LeaseState {
        val lease = trackedLeases[name] ?: TrackedLease()
        val counted = if (call is LeaseCall.Write) copy(writeCount = writeCount + 1) else this
        return counted.withTrackedLease(name, lease.copy(pendingCall = call), now)
    }

    private fun LeaseState.withTrackedLease(name: String, lease: TrackedLease, now: MonotonicTime): LeaseState {
        val usableLease = protocol.usableLease(lease, now)
        return copy(
            trackedLeases = trackedLeases.put(name, lease),
            held = if (usableLease == null) held.remove(name) else held.put(name, usableLease),
        )
    }

    public companion object {
        private val JSON = Json { ignoreUnknownKeys = true }

        /** Returns the JSON text of a lease object that holds [record]. */
        public fun encode(record: LeaseRecord): String = JSON.encodeToString(LeaseRecord.serializer(), record)

        private fun decode(text: String): LeaseRecord? =
            Either
                .catch { JSON.decodeFromString(LeaseRecord.serializer(), text) }
                .onLeft { if (it !is SerializationException && it !is IllegalArgumentException) throw it }
                .getOrNull()
    }
}
