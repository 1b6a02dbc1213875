package org.yuccajunction.lease

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** Simulates entries that compete for one lease in an object API that loses, delays and refuses calls. */
internal class LeaseSimulation(size: Int, seed: Long, private val faults: Faults) {
    /**
     * Probabilities of the faults.
     *
     * @property lostRequest per call: the request never reaches the object API
     * @property lostAnswer per call: the object API executes the call, but the answer is lost
     * @property longDelay per request and per answer: the delay is up to 10 s instead of less than 60 ms
     * @property pause per entry and step of 50 ms: the entry pauses for up to 20 s
     * @property outage per step: the object API refuses all calls for up to 20 s
     * @property restore per step: the stored lease is replaced by a random earlier version
     * @property settings the lease settings of the entries
     */
    data class Faults(
        val lostRequest: Double = 0.0,
        val lostAnswer: Double = 0.0,
        val longDelay: Double = 0.0,
        val pause: Double = 0.0,
        val outage: Double = 0.0,
        val restore: Double = 0.0,
        val settings: LeaseSettings = LeaseSettings(),
    )

    private class Entry(
        val manager: LeaseManager,
        val clockOffsetMillis: Long,
        var state: LeaseState = LeaseState(),
        var pausedUntilMillis: Long = 0,
    )

    private val random = Random(seed)
    private val entries = List(size) {
        Entry(LeaseManager(EntryIncarnation(InstanceId("entry-$it"), 1), faults.settings), random.nextLong(HOUR_MILLIS))
    }
    private val queue = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private var stored: StoredObject? = null
    private val history = mutableListOf<StoredObject>()
    private var version = 0L
    private var outageEndsAtMillis = 0L
    private var nowMillis = 0L
    val heldFencingNumbers = mutableListOf<FencingNumber>()
    var stepsWithSeveralHolders = 0
        private set
    var stepsWithHolder = 0
        private set

    fun run(durationMillis: Long) {
        val end = nowMillis + durationMillis
        while (nowMillis < end) {
            nowMillis += STEP_MILLIS
            while (queue.isNotEmpty() && queue.peek().first <= nowMillis) queue.poll().second()
            if (random.nextDouble() < faults.outage) outageEndsAtMillis = nowMillis + random.nextLong(20_000)
            if (random.nextDouble() < faults.restore) stored = history.randomOrNull(random)
            entries.forEach(::step)
            if (nowMillis % GOSSIP_MILLIS == 0L) gossip()
            observe()
        }
    }

    private fun gossip() {
        val running = entries.filter { nowMillis >= it.pausedUntilMillis }
        val highest = running.maxOfOrNull { it.state.highestFencingNumber } ?: return
        running.forEach { it.state = it.state.withObservedFencingNumber(highest) }
    }

    private fun now(entry: Entry) = MonotonicTime.ZERO + (entry.clockOffsetMillis + nowMillis).milliseconds

    private fun step(entry: Entry) {
        if (nowMillis < entry.pausedUntilMillis) return
        if (random.nextDouble() < faults.pause) {
            entry.pausedUntilMillis = nowMillis + random.nextLong(20_000)
            return
        }
        val step = entry.manager.nextStep(entry.state, LEASE, { LeaseRole.CANDIDATE }, now(entry))
        entry.state = step.state
        when (val call = step.call) {
            is LeaseCall.Read -> send(entry, { readStored() }, ObjectReading.Unavailable("lost")) { state, answer ->
                entry.manager.afterRead(state, LEASE, answer, now(entry))
            }
            is LeaseCall.Write -> send(entry, { write(call) }, ObjectWriting.Unknown("lost")) { state, answer ->
                entry.manager.afterWrite(state, LEASE, answer, now(entry))
            }
            null -> Unit
        }
    }

    /** Sends a call that the object API handles by [execute]; after the timeout the entry gets [timeoutAnswer]. */
    private fun <A> send(entry: Entry, execute: () -> A, timeoutAnswer: A, handle: (LeaseState, A) -> LeaseState) {
        val timesOutAtMillis = nowMillis + TIMEOUT_MILLIS
        var isAnswered = false
        fun answer(value: A) {
            if (isAnswered) return
            if (nowMillis < entry.pausedUntilMillis) {
                schedule(entry.pausedUntilMillis) { answer(value) }
                return
            }
            isAnswered = true
            entry.state = handle(entry.state, value)
        }
        schedule(timesOutAtMillis) { answer(timeoutAnswer) }
        if (random.nextDouble() < faults.lostRequest) return
        schedule(nowMillis + delayMillis()) {
            val value = execute()
            if (random.nextDouble() >= faults.lostAnswer) schedule(nowMillis + delayMillis()) { answer(value) }
        }
    }

    private fun delayMillis(): Long =
        if (random.nextDouble() < faults.longDelay) random.nextLong(10_000) else random.nextLong(1, 60)

    private fun schedule(atMillis: Long, action: () -> Unit) {
        queue += atMillis to action
    }

    private fun readStored(): ObjectReading =
        when {
            nowMillis < outageEndsAtMillis -> ObjectReading.Unavailable("outage")
            else -> stored?.let(ObjectReading::Found) ?: ObjectReading.Absent
        }

    private fun write(call: LeaseCall.Write): ObjectWriting {
        if (nowMillis < outageEndsAtMillis) return ObjectWriting.Refused("outage")
        val expected = call.expected
        val isMet = if (expected is ExpectedVersion.Is) stored?.version == expected.version else stored == null
        if (!isMet) return ObjectWriting.Conflict
        val written = StoredObject(LEASE, ObjectVersion(++version), LeaseManager.encode(call.record))
        stored = written
        history += written
        return ObjectWriting.Written(written.version)
    }

    private fun observe() {
        val numbers = entries.mapNotNull { it.state.fencingNumber(LEASE, now(it)) }
        if (numbers.size > 1) stepsWithSeveralHolders++
        if (numbers.isNotEmpty()) stepsWithHolder++
        numbers.forEach { if (heldFencingNumbers.lastOrNull() != it) heldFencingNumbers += it }
    }

    companion object {
        const val LEASE = "rollout"
        private const val STEP_MILLIS = 50L
        private const val GOSSIP_MILLIS = 3_000L
        private const val TIMEOUT_MILLIS = 3_000L
        private val HOUR_MILLIS = 1.hours.inWholeMilliseconds
    }
}
