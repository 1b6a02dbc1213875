package org.yuccajunction.entry.serving

import kotlinx.coroutines.delay
import org.yuccajunction.model.Ending
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.EntryAddress
import org.yuccajunction.traffic.AddressOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Ends serving within the shutdown notice without aborting requests.
 *
 * The entry first removes itself from address answers, but still accepts requests of callers with a cached answer. Then
 * it rejects new requests and finishes open ones. Last, it hands its records and the unfinished streams to a successor.
 */
internal class GracefulShutdown(private val state: ServingState) {
    private val context = state.context

    /** Drains this entry within [remaining]; returns the entry that has taken over the records, or null if none has. */
    suspend fun drain(remaining: Duration): EntryIncarnation? {
        val endsAt = context.clock() + remaining
        state.phase = ServingPhase.UNLISTED
        delay(minOf(remaining / NOTICE_DIVISOR, context.table().addressAnswerSeconds.seconds + ADDRESS_EXPIRY_MARGIN))
        state.phase = ServingPhase.FINISHING
        state.records.close()
        val handOverAt = endsAt - minOf(remaining / NOTICE_DIVISOR, HAND_OVER_TIME)
        awaitUntil(handOverAt) {
            state.openRequestCount.get() == 0 && state.unansweredRequestCount.get() == 0 &&
                !state.streams.hasReaders()
        }
        val successor = handOverStreams()
        awaitUntil(endsAt - FLUSH_TIME) { state.openRequestCount.get() == 0 && state.unansweredRequestCount.get() == 0 }
        if (successor != null) handOverTo(successor, emptyList())
        return successor?.entry
    }

    private suspend fun handOverStreams(): EntryAddress? {
        val streams = state.streams.unendedStreams()
        streams.forEach { it.hideFurtherProgress() }
        val successor = successorCandidates().firstOrNull { handOverTo(it, streams) }
        for (stream in streams) {
            if (successor == null) {
                stream.showHiddenProgress()
            } else {
                stream.endAtVisibleProgress(StreamEnd(Ending.Moved(successor.callerEndpoint)))
            }
        }
        return successor
    }

    private fun successorCandidates(): List<EntryAddress> {
        val others = context.table().entries.filter { it.entry != context.self }
        return AddressOrder.of(others, null, context.random).take(MAX_SUCCESSOR_CANDIDATES)
    }

    private suspend fun handOverTo(to: EntryAddress, streams: List<HeldStream>): Boolean {
        val records = state.records.exportRecords()
        val parts = HandOverParts.of(context.self, state.requestIds.epoch, records, streams.map { it.toHandedStream() })
        return parts.all { context.ports.peers.handOver(to.peerEndpoint, it) }
    }

    private suspend fun awaitUntil(time: MonotonicTime, condition: () -> Boolean) {
        while (context.clock() < time && !condition()) delay(POLL_INTERVAL)
    }

    private companion object {
        const val NOTICE_DIVISOR = 3
        const val MAX_SUCCESSOR_CANDIDATES = 3
        val ADDRESS_EXPIRY_MARGIN = 1.seconds
        val HAND_OVER_TIME = 5.seconds
        val FLUSH_TIME = 300.milliseconds
        val POLL_INTERVAL = 20.milliseconds
    }
}
