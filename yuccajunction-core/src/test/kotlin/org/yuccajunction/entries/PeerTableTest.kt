package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PeerTableTest {
    private val table = PeerTable("own")
    private var now = MonotonicTime.ZERO

    private fun heartbeat(
        name: String,
        incarnation: Long = 1,
        sequence: Long = 1,
        isReady: Boolean = true,
    ): EntryHeartbeat =
        EntryHeartbeat(name, incarnation, sequence, "$name:80", "$name:7600", "zone", isReady)

    @Test
    fun `an entry that is silent is no longer named`() {
        table.recordHeartbeat(heartbeat("a"), now)
        table.recordHeartbeat(heartbeat("b"), now)
        now += 1.seconds
        table.recordHeartbeat(heartbeat("b", sequence = 2), now)
        now += 1.seconds
        assertEquals(listOf("b:80"), table.callerAddresses(now))
    }

    @Test
    fun `an entry that hears nobody any more names those it heard last for a while`() {
        table.recordHeartbeat(heartbeat("a"), now)
        now += 3.seconds
        assertEquals(listOf("a:80"), table.callerAddresses(now))
        now += 2.seconds
        assertEquals(emptyList(), table.callerAddresses(now))
    }

    @Test
    fun `an entry that is not ready is not named`() {
        table.recordHeartbeat(heartbeat("a", isReady = false), now)
        assertEquals(emptyList(), table.callerAddresses(now))
    }

    @Test
    fun `late and doubled beats are ignored, also those of a former run`() {
        assertTrue(table.recordHeartbeat(heartbeat("a", incarnation = 2, sequence = 5), now))
        assertFalse(table.recordHeartbeat(heartbeat("a", incarnation = 2, sequence = 5), now))
        assertFalse(table.recordHeartbeat(heartbeat("a", incarnation = 1, sequence = 9), now))
        assertTrue(table.recordHeartbeat(heartbeat("a", incarnation = 3, sequence = 1), now))
    }

    @Test
    fun `of many entries some get a beat at a time, and each in its turn`() {
        (1..64).forEach { table.addRegistration("entry-$it", "10.0.0.$it:7600", now) }
        val told = List(4) { table.heartbeatTargets(now, Random(1)) }
        assertEquals(listOf(16, 16, 16, 16), told.map { it.size })
        assertEquals(64, told.flatten().distinct().size)
    }

    @Test
    fun `an entry lives on that others hear of`() {
        val heard = heartbeat("a", sequence = 4)
        table.recordHeartbeat(heard, now)
        now += 1.seconds
        table.recordHeartbeatCounters(listOf(HeartbeatCounter(HeartbeatCounter.incarnationHashOf(heard), 5)), now)
        now += 1.seconds
        assertEquals(listOf("a:80"), table.callerAddresses(now))
    }

    @Test
    fun `a sign of life that is passed on for long proves nothing`() {
        val heard = heartbeat("a", sequence = 4)
        table.recordHeartbeat(heard, now)
        now += 1.seconds
        table.recordHeartbeatCounters(listOf(HeartbeatCounter(HeartbeatCounter.incarnationHashOf(heard), 4)), now)
        now += 1.seconds
        assertEquals(emptyList(), table.livePeers(now))
    }

    @Test
    fun `of 300 entries nearly all are known to live, and those that ended are forgotten in four seconds`() {
        val fleet = EntryFleet(300)
        fleet.exchangeHeartbeats(rounds = 30)
        assertTrue(fleet.liveNames().all { it.size >= 285 }, "${fleet.liveNames().minOf { it.size }}")
        val killed = fleet.kill(50)
        fleet.exchangeHeartbeats(rounds = 8)
        assertTrue(fleet.liveNames().all { it.size >= 237 }, "${fleet.liveNames().minOf { it.size }}")
        assertEquals(emptySet(), killed intersect fleet.liveNames().flatten().toSet())
    }

    @Test
    fun `usage goes to the holder of the duties and to those that would follow it`() {
        listOf("a", "b", "c", "d", "e").forEach { table.recordHeartbeat(heartbeat(it), now) }
        table.recordHeartbeat(heartbeat("x").copy(dutyFencingNumber = 3), now)
        assertEquals(setOf("x:7600", "a:7600", "b:7600", "c:7600"), table.usageReceivers(now))
    }
}

/** Entries that exchange beats under a hand-moved clock, each twice a second; one in twenty datagrams is lost. */
private class EntryFleet(count: Int) {
    private val random = Random(1)
    private var now = MonotonicTime.ZERO
    private var sequence = 0L
    private val tables = LinkedHashMap<String, PeerTable>()

    init {
        val names = (1..count).map { "entry-$it" }
        names.forEach { tables[it] = PeerTable(it) }
        tables.values.forEach { table -> names.forEach { table.addRegistration(it, it, now) } }
    }

    fun exchangeHeartbeats(rounds: Int) {
        repeat(rounds) {
            sequence += 1
            for ((name, table) in tables) {
                now += (500.milliseconds / tables.size)
                val heartbeat = EntryHeartbeat(name, 1, sequence, name, name, "zone", isReady = true)
                val counters = table.heartbeatCounters(now)
                val updates = table.nextMembershipUpdates(now)
                for (target in table.heartbeatTargets(now, random)) {
                    val receiver = tables[target] ?: continue
                    if (random.nextInt(20) == 0) continue
                    receiver.recordHeartbeatCounters(counters, now)
                    updates.forEach { receiver.recordMembershipUpdate(it, now) }
                    receiver.recordHeartbeat(heartbeat, now)
                }
            }
        }
    }

    fun kill(count: Int): Set<String> {
        val killed = tables.keys.take(count).toSet()
        tables.keys.removeAll(killed)
        return killed
    }

    /** Returns for each entry the names of those that it takes to live. */
    fun liveNames(): List<List<String>> = tables.values.map { table -> table.livePeers(now).map { it.name } }
}
