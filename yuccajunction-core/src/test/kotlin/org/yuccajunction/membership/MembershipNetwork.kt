package org.yuccajunction.membership

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.Revision
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulates the heartbeats of many entries with a virtual clock, and loses and delays some of the heartbeats.
 *
 * @param lossFraction probability that a heartbeat is lost, and probability that a delivered one is late
 * @param fullMembership whether all entries know each other from the start
 */
@OptIn(ExperimentalSerializationApi::class)
internal class MembershipNetwork(
    size: Int,
    seed: Long,
    private val lossFraction: Double = 0.0,
    fullMembership: Boolean = false,
) {
    private val random = Random(seed)
    private val membership = Membership()
    private val queue = PriorityQueue<Delivery>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    private val paused = mutableSetOf<Int>()
    val crashed = mutableSetOf<Int>()
    val disconnected = mutableSetOf<Int>()
    var listed: Set<Int> = (0 until size).toSet()
    val states: MutableList<MembershipState> = MutableList(size) { MembershipState(entry(it, incarnation = 1)) }
    val revisions: MutableList<Revision> = MutableList(size) { Revision(1) }
    var now: MonotonicTime = MonotonicTime.ZERO
        private set

    /** Bytes of all heartbeats and answers sent, by sender. */
    val bytesSent: LongArray = LongArray(size)

    val live: List<Int> get() = states.indices.filter { it !in crashed && it !in paused }

    init {
        if (fullMembership) introduceAll()
        states.indices.forEach { schedule(random.nextLong(TICK_INTERVAL_MILLIS).milliseconds) { tick(it) } }
    }

    fun run(time: Duration) {
        val end = now + time
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    /** Runs until [condition] holds; returns the simulated time that passed, null where more than [atMost] passed. */
    fun timeUntil(atMost: Duration, condition: () -> Boolean): Duration? {
        val start = now
        while (now - start < atMost) {
            if (condition()) return now - start
            run(STEP)
        }
        return null
    }

    fun pause(entry: Int, time: Duration) {
        paused += entry
        schedule(time) { paused -= entry }
    }

    fun restart(entry: Int, incarnation: Long) {
        states[entry] = MembershipState(entry(entry, incarnation))
    }

    fun peerRecord(of: Int, about: Int): PeerRecord? = states[of].peers[states[about].self.entry.instance]

    private fun introduceAll() {
        states.replaceAll { it.withAnnouncement(it.self.copy(revision = Revision(1)), 1, now) }
        val records = states.associate { it.self.entry.instance to PeerRecord(it.self, now) }.toPersistentMap()
        val digest = MembershipDigest.of(records.values.map { it.update })
        states.replaceAll { state ->
            val others = digest.toggled(MembershipUpdate(state.self))
            state.copy(peers = records.remove(state.self.entry.instance), peersDigest = others)
        }
    }

    private fun tick(entry: Int) {
        schedule(TICK_INTERVAL_MILLIS.milliseconds) { tick(entry) }
        if (entry in crashed || entry in paused) return
        if (entry !in disconnected) states[entry] = states[entry].copy(instances = instanceList(), listedAt = now)
        if (!membership.isRoundDue(states[entry], now)) return
        states[entry] = membership.beginRound(states[entry], revisions[entry], now, random)
        membership
            .heartbeats(states[entry], HeartbeatContent(revisions[entry]), random)
            .forEach { send(entry, it.to.port - PORT_BASE, it.heartbeat, expectsAnswer = true) }
    }

    private fun send(from: Int, to: Int, heartbeat: Heartbeat, expectsAnswer: Boolean) {
        bytesSent[from] += ProtoBuf.encodeToByteArray(Heartbeat.serializer(), heartbeat).size + CALL_OVERHEAD_BYTES
        val isLost = random.nextDouble() < lossFraction || from in disconnected || to in disconnected
        if (!isLost) schedule(delay()) { receive(from, to, heartbeat, expectsAnswer) }
    }

    private fun delay(): Duration =
        (
            if (random.nextDouble() < lossFraction) {
                random.nextLong(MAX_LATE_DELAY_MILLIS)
            } else {
                random.nextLong(1, MAX_DELAY_MILLIS)
            }
            ).milliseconds

    private fun receive(from: Int, to: Int, heartbeat: Heartbeat, expectsAnswer: Boolean) {
        if (to in crashed) return
        if (to in paused) {
            schedule(TICK_INTERVAL_MILLIS.milliseconds) { receive(from, to, heartbeat, expectsAnswer) }
            return
        }
        val before = states[to]
        states[to] = membership.afterHeartbeat(before, heartbeat, now)
        if (heartbeat.revision > revisions[to]) revisions[to] = heartbeat.revision
        if (expectsAnswer) {
            send(
                to,
                from,
                membership.answer(before, HeartbeatContent(revisions[to]), heartbeat, random),
                false,
            )
        }
    }

    private fun schedule(delay: Duration, action: () -> Unit) {
        queue += Delivery(now + delay, order++, action)
    }

    private fun instanceList() =
        cachedList.also { if (listedFor != listed) cachedList = buildInstanceList() }.let { cachedList }

    private var listedFor: Set<Int> = emptySet()
    private var cachedList = buildInstanceList()

    private fun buildInstanceList() =
        listed
            .map { states[it].self }
            .associate { it.entry.instance to row(it) }
            .toPersistentMap()
            .also { listedFor = listed }

    private fun row(entry: EntryState) =
        PlatformInstance(
            entry.entry.instance,
            InstanceRole.ENTRY,
            entry.availabilityZone,
            entry.callerEndpoint,
            peerEndpoint = entry.peerEndpoint,
        )

    private class Delivery(val at: MonotonicTime, val order: Long, val action: () -> Unit)

    companion object {
        const val ZONE_COUNT = 4
        private const val TICK_INTERVAL_MILLIS = 100L
        private const val MAX_DELAY_MILLIS = 5L
        private const val MAX_LATE_DELAY_MILLIS = 4_000L
        private const val CALL_OVERHEAD_BYTES = 100L
        private val STEP = 200.milliseconds

        fun entry(number: Int, incarnation: Long): EntryState =
            EntryState(
                EntryIncarnation(InstanceId("entry-%04d".format(number)), incarnation),
                stateVersion = 0,
                AvailabilityZone("cairo-${'a' + number % ZONE_COUNT}"),
                Endpoint("10.0.${number / 256}.${number % 256}", 8_080),
                Endpoint("10.0.${number / 256}.${number % 256}", number + PORT_BASE),
                Revision.NONE,
            )

        const val PORT_BASE = 1
    }
}
