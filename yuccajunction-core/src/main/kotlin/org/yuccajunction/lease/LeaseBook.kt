package org.yuccajunction.lease

import arrow.core.Either
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectWriting

/**
 * Applies the rules of leases to the state of all leases that an entry has to do with.
 *
 * @param self this entry
 */
public class LeaseBook(self: EntryIncarnation, settings: LeaseSettings = LeaseSettings()) {
    private val protocol = LeaseProtocol(self, settings)

    /** Returns the state as of [now] and the call that is due for the lease [name], if any. */
    public fun due(state: LeaseState, name: String, role: () -> LeaseRole, now: MonotonicTime): LeaseStep {
        val aged = state.tracking(name, protocol.aged(state.tracks[name] ?: LeaseTrack(), now), now)
        val call = protocol.takeOverDue(name, aged, role, now) ?: protocol.callDue(name, aged, role, now)
        return if (call == null) LeaseStep(aged) else LeaseStep(aged.calling(name, call, now), call)
    }

    /** Returns the state after the pending reading of [name] was answered by [reading] at [now]. */
    public fun read(state: LeaseState, name: String, reading: ObjectReading, now: MonotonicTime): LeaseState {
        val track = state.tracks[name] ?: return state
        if (track.pending !is LeaseCall.Read) return state
        return when (reading) {
            is ObjectReading.Found -> {
                val record = decode(reading.stored.value.orEmpty())
                val heard = record?.let { state.hearing(it.fencingNumber) } ?: state
                heard.tracking(name, protocol.read(track, reading.stored.version, record, now), now)
            }
            ObjectReading.Absent -> state.tracking(name, protocol.read(track, null, null, now), now)
            is ObjectReading.Unavailable -> state.tracking(name, protocol.failed(track, now), now)
        }
    }

    /** Returns the state after the pending write of [name] was answered by [writing] at [now]. */
    public fun written(state: LeaseState, name: String, writing: ObjectWriting, now: MonotonicTime): LeaseState {
        val track = state.tracks[name] ?: return state
        val write = track.pending as? LeaseCall.Write ?: return state
        val next =
            when (writing) {
                is ObjectWriting.Written -> protocol.written(track, write, writing.version, now)
                ObjectWriting.Conflict, is ObjectWriting.Unknown -> protocol.doubted(track, write)
                is ObjectWriting.Refused -> protocol.failed(track, now)
            }
        return state.hearing(write.record.fencingNumber).tracking(name, next, now)
    }

    private fun LeaseState.calling(name: String, call: LeaseCall, now: MonotonicTime): LeaseState {
        val track = tracks[name] ?: LeaseTrack()
        val counted = if (call is LeaseCall.Write) copy(attempts = attempts + 1) else this
        return counted.tracking(name, track.copy(pending = call), now)
    }

    private fun LeaseState.tracking(name: String, track: LeaseTrack, now: MonotonicTime): LeaseState {
        val lease = protocol.held(track, now)
        return copy(
            tracks = tracks.put(name, track),
            held = if (lease == null) held.remove(name) else held.put(name, lease),
        )
    }

    public companion object {
        private val JSON = Json { ignoreUnknownKeys = true }

        /** Writes [record] as the text of a lease object. */
        public fun encode(record: LeaseRecord): String = JSON.encodeToString(LeaseRecord.serializer(), record)

        private fun decode(text: String): LeaseRecord? =
            Either
                .catch { JSON.decodeFromString(LeaseRecord.serializer(), text) }
                .onLeft { if (it !is SerializationException && it !is IllegalArgumentException) throw it }
                .getOrNull()
    }
}
