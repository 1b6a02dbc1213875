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

/** Lets several entries compete for one lease over a store that loses, delays and refuses calls. */
internal class LeaseNetwork(size: Int, seed: Long, private val faults: Faults) {
    /** Probabilities of the faults; [settings] are those of the entries. */
    data class Faults(
        val lostRequest: Double = 0.0,
        val lostAnswer: Double = 0.0,
        val late: Double = 0.0,
        val pause: Double = 0.0,
        val outage: Double = 0.0,
        val restore: Double = 0.0,
        val settings: LeaseSettings = LeaseSettings(),
    )

    private class Entry(
        val book: LeaseBook,
        val offset: Long,
        var state: LeaseState = LeaseState(),
        var wakesAt: Long = 0,
    )

    private val random = Random(seed)
    private val entries = List(size) {
        Entry(LeaseBook(EntryIncarnation(InstanceId("entry-$it"), 1), faults.settings), random.nextLong(HOUR_MILLIS))
    }
    private val queue = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private var stored: StoredObject? = null
    private val history = mutableListOf<StoredObject>()
    private var version = 0L
    private var outageEndsAt = 0L
    private var millis = 0L
    val holders = mutableListOf<FencingNumber>()
    var usableTogether = 0
        private set
    var heldSteps = 0
        private set

    fun run(time: Long) {
        val end = millis + time
        while (millis < end) {
            millis += STEP_MILLIS
            while (queue.isNotEmpty() && queue.peek().first <= millis) queue.poll().second()
            if (random.nextDouble() < faults.outage) outageEndsAt = millis + random.nextLong(20_000)
            if (random.nextDouble() < faults.restore) stored = history.randomOrNull(random)
            entries.forEach(::step)
            if (millis % GOSSIP_MILLIS == 0L) gossip()
            observe()
        }
    }

    private fun gossip() {
        val awake = entries.filter { millis >= it.wakesAt }
        val highest = awake.maxOfOrNull { it.state.highest } ?: return
        awake.forEach { it.state = it.state.hearing(highest) }
    }

    private fun now(entry: Entry) = MonotonicTime.ZERO + (entry.offset + millis).milliseconds

    private fun step(entry: Entry) {
        if (millis < entry.wakesAt) return
        if (random.nextDouble() < faults.pause) {
            entry.wakesAt = millis + random.nextLong(20_000)
            return
        }
        val due = entry.book.due(entry.state, LEASE, { LeaseRole.CANDIDATE }, now(entry))
        entry.state = due.state
        when (val call = due.call) {
            is LeaseCall.Read -> send(entry, { reading() }, ObjectReading.Unavailable("lost")) { state, answer ->
                entry.book.read(state, LEASE, answer, now(entry))
            }
            is LeaseCall.Write -> send(entry, { writing(call) }, ObjectWriting.Unknown("lost")) { state, answer ->
                entry.book.written(state, LEASE, answer, now(entry))
            }
            null -> Unit
        }
    }

    private fun <A> send(entry: Entry, effect: () -> A, lost: A, handle: (LeaseState, A) -> LeaseState) {
        val timesOutAt = millis + TIMEOUT_MILLIS
        var isAnswered = false
        fun answer(value: A) {
            if (isAnswered) return
            if (millis < entry.wakesAt) {
                at(entry.wakesAt) { answer(value) }
                return
            }
            isAnswered = true
            entry.state = handle(entry.state, value)
        }
        at(timesOutAt) { answer(lost) }
        if (random.nextDouble() < faults.lostRequest) return
        at(millis + delay()) {
            val value = effect()
            if (random.nextDouble() >= faults.lostAnswer) at(millis + delay()) { answer(value) }
        }
    }

    private fun delay(): Long = if (random.nextDouble() <
        faults.late
    ) {
        random.nextLong(10_000)
    } else {
        random.nextLong(1, 60)
    }

    private fun at(time: Long, action: () -> Unit) {
        queue += time to action
    }

    private fun reading(): ObjectReading =
        when {
            millis < outageEndsAt -> ObjectReading.Unavailable("outage")
            else -> stored?.let(ObjectReading::Found) ?: ObjectReading.Absent
        }

    private fun writing(call: LeaseCall.Write): ObjectWriting {
        if (millis < outageEndsAt) return ObjectWriting.Refused("outage")
        val expected = call.expected
        val isMet = if (expected is ExpectedVersion.Is) stored?.version == expected.version else stored == null
        if (!isMet) return ObjectWriting.Conflict
        val written = StoredObject(LEASE, ObjectVersion(++version), LeaseBook.encode(call.record))
        stored = written
        history += written
        return ObjectWriting.Written(written.version)
    }

    private fun observe() {
        val numbers = entries.mapNotNull { it.state.fencingNumber(LEASE, now(it)) }
        if (numbers.size > 1) usableTogether++
        if (numbers.isNotEmpty()) heldSteps++
        numbers.forEach { if (holders.lastOrNull() != it) holders += it }
    }

    companion object {
        const val LEASE = "rollout"
        private const val STEP_MILLIS = 50L
        private const val GOSSIP_MILLIS = 3_000L
        private const val TIMEOUT_MILLIS = 3_000L
        private val HOUR_MILLIS = 1.hours.inWholeMilliseconds
    }
}
