package org.yuccajunction.membership

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.yuccajunction.model.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class MembershipTest {
    @ParameterizedTest(name = "{0} entries, {1} seeds, loss {2}")
    @CsvSource("8, 20, 0.0", "8, 50, 0.1", "410, 1, 0.0", "410, 1, 0.05")
    fun `all entries learn of a change, a drain and a crash within 13 seconds`(size: Int, seeds: Int, loss: Double) {
        for (seed in 1L..seeds) {
            val network = MembershipNetwork(size, seed, loss, fullMembership = true)
            network.run(SETTLING_TIME)
            assertSpreads(network, "revision") { network.live.all { network.revisions[it] == CHANGED_REVISION } }
            network.states[1] = network.states[1].withAnnouncedChange(network.now) { it.copy(draining = true) }
            assertSpreads(network, "leaving") { (network.live - 1).all { network.peerRecord(it, 1)!!.state.draining } }
            network.crashed += 2
            assertSpreads(network, "death") { network.live.all { network.peerRecord(it, 2)!!.suspected } }
        }
    }

    @ParameterizedTest(name = "{0} entries, loss {1}")
    @CsvSource("8, 0.0", "8, 0.05", "410, 0.0")
    fun `each entry sends fewer than 3000 bytes per second`(size: Int, loss: Double) {
        val network = MembershipNetwork(size, seed = 1, loss, fullMembership = true)
        network.run(SETTLING_TIME)
        val before = network.bytesSent.copyOf()
        network.run(MEASURED_TIME)
        val perSecond =
            network.bytesSent.indices.map { (network.bytesSent[it] - before[it]) / MEASURED_TIME.inWholeSeconds }
        println("size=$size loss=$loss bytes sent per second: mean ${perSecond.average()}, max ${perSecond.max()}")
        assertTrue(perSecond.max() < MAX_BYTES_PER_SECOND, "bytes sent per second: ${perSecond.max()}")
    }

    @Test
    fun `eight entries that start together all learn of each other`() {
        val network = MembershipNetwork(size = 8, seed = 1)
        assertSpreads(network, "all") { network.live.all { network.states[it].peers.size == 7 } }
    }

    @Test
    fun `a new incarnation of an entry replaces the old one at all entries`() {
        val network = MembershipNetwork(size = 8, seed = 1, fullMembership = true)
        network.run(SETTLING_TIME)
        network.restart(3, incarnation = 2)
        assertSpreads(network, "restart") {
            (network.live - 3).all { network.peerRecord(it, 3)!!.state.entry.incarnation == 2L }
        }
    }

    @Test
    fun `a crashed entry is suspected while listed and removed after it is unlisted`() {
        val network = MembershipNetwork(size = 8, seed = 1, fullMembership = true)
        network.crashed += 2
        network.run(30.seconds)
        assertTrue(network.live.all { network.peerRecord(it, 2)!!.suspected })
        network.listed -= 2
        network.run(30.seconds)
        assertTrue(network.live.all { network.peerRecord(it, 2) == null })
    }

    @Test
    fun `an entry suspects no peer after its own pause`() {
        for (seed in 1L..20) {
            val network = MembershipNetwork(size = 8, seed, fullMembership = true)
            network.run(SETTLING_TIME)
            network.pause(3, 20.seconds)
            network.run(21.seconds)
            assertEquals(0, network.states[3].peers.values.count { it.suspected }, "seed $seed")
            network.run(5.seconds)
            assertTrue(network.live.none { entry -> network.states[entry].peers.values.any { it.suspected } })
        }
    }

    @Test
    fun `a disconnected entry is isolated and suspects no peer, and is no longer suspected after it reconnects`() {
        val network = MembershipNetwork(size = 8, seed = 1, fullMembership = true)
        network.run(SETTLING_TIME)
        assertFalse(network.states[3].isIsolated(network.now))
        network.disconnected += 3
        network.run(30.seconds)
        assertEquals(0, network.states[3].peers.values.count { it.suspected })
        assertTrue(network.states[3].isIsolated(network.now))
        assertTrue((network.live - 3).all { network.peerRecord(it, 3)!!.suspected })
        network.disconnected -= 3
        assertSpreads(network, "return") { (network.live - 3).all { !network.peerRecord(it, 3)!!.suspected } }
    }

    private fun assertSpreads(network: MembershipNetwork, change: String, condition: () -> Boolean) {
        if (change == "revision") network.revisions[0] = CHANGED_REVISION
        val time: Duration? = network.timeUntil(MAX_SPREAD_TIME, condition)
        println("change '$change' at ${network.states.size} entries: ${time ?: "not within $MAX_SPREAD_TIME"}")
        assertTrue(time != null, "change '$change' is not known at all entries within $MAX_SPREAD_TIME")
    }

    private companion object {
        const val MAX_BYTES_PER_SECOND = 3_000
        val CHANGED_REVISION = Revision(2)
        val SETTLING_TIME = 12.seconds
        val MEASURED_TIME = 20.seconds
        val MAX_SPREAD_TIME = 13.seconds
    }
}
