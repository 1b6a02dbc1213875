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
 * Ends serving within a notice without cutting a request off.
 *
 * The entry is first named no more but still takes requests of callers that keep an old address answer; then it refuses
 * new ones and finishes open ones; last it hands its records and the streams still open to a successor.
 */
internal class GracefulShutdown(private val state: ServingState) {
    private val context = state.context

    /** Returns the entry that has taken over the records, null where none has. */
    suspend fun run(remaining: Duration): EntryIncarnation? {
        val endsAt = context.clock() + remaining
        state.phase = ServingPhase.UNNAMED
        delay(minOf(remaining / NOTICE_SHARE, context.table().addressAnswerSeconds.seconds + ADDRESS_RESERVE))
        state.phase = ServingPhase.FINISHING
        state.records.close()
        val handOverAt = endsAt - minOf(remaining / NOTICE_SHARE, HAND_OVER_TIME)
        awaitUntil(handOverAt) { state.open.get() == 0 && state.answering.get() == 0 && !state.streams.areRead() }
        val successor = handOverStreams()
        awaitUntil(endsAt - FLUSH_TIME) { state.open.get() == 0 && state.answering.get() == 0 }
        if (successor != null) hand(successor, emptyList())
        return successor?.entry
    }

    private suspend fun handOverStreams(): EntryAddress? {
        val streams = state.streams.running()
        streams.forEach { it.freeze() }
        val successor = candidates().firstOrNull { hand(it, streams) }
        for (stream in streams) {
            if (successor ==
                null
            ) {
                stream.thaw()
            } else {
                stream.endFrozen(StreamEnd(Ending.Moved(successor.callerEndpoint)))
            }
        }
        return successor
    }

    private fun candidates(): List<EntryAddress> {
        val others = context.table().entries.filter { it.entry != context.self }
        return AddressOrder.of(others, null, context.random).take(CANDIDATES)
    }

    private suspend fun hand(to: EntryAddress, streams: List<HeldStream>): Boolean {
        val records = state.records.exportRecords()
        val parts = HandOverParts.of(context.self, state.identities.epoch, records, streams.map { it.handed() })
        return parts.all { context.ports.peers.handOver(to.peerEndpoint, it) }
    }

    private suspend fun awaitUntil(time: MonotonicTime, condition: () -> Boolean) {
        while (context.clock() < time && !condition()) delay(POLL)
    }

    private companion object {
        const val NOTICE_SHARE = 3
        const val CANDIDATES = 3
        val ADDRESS_RESERVE = 1.seconds
        val HAND_OVER_TIME = 5.seconds
        val FLUSH_TIME = 300.milliseconds
        val POLL = 20.milliseconds
    }
}
