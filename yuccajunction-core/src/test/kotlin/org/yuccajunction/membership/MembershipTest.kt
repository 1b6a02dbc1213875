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
    fun `news are known everywhere in time`(size: Int, seeds: Int, loss: Double) {
        for (seed in 1L..seeds) {
            val network = MembershipNetwork(size, seed, loss, acquainted = true)
            network.run(SETTLING)
            assertKnown(network, "revision") { network.live.all { network.revisions[it] == CHANGED } }
            network.states[1] = network.states[1].announcing(network.now) { it.copy(leaving = true) }
            assertKnown(network, "leaving") { (network.live - 1).all { network.knowledge(it, 1)!!.state.leaving } }
            network.dead += 2
            assertKnown(network, "death") { network.live.all { network.knowledge(it, 2)!!.suspected } }
        }
    }

    @ParameterizedTest(name = "{0} entries, loss {1}")
    @CsvSource("8, 0.0", "8, 0.05", "410, 0.0")
    fun `an entry sends less than its share of bytes`(size: Int, loss: Double) {
        val network = MembershipNetwork(size, seed = 1, loss, acquainted = true)
        network.run(SETTLING)
        val before = network.bytesSent.copyOf()
        network.run(MEASURED)
        val perSecond = network.bytesSent.indices.map { (network.bytesSent[it] - before[it]) / MEASURED.inWholeSeconds }
        println("size=$size loss=$loss bytes sent a second: mean ${perSecond.average()}, most ${perSecond.max()}")
        assertTrue(perSecond.max() < BYTES_A_SECOND, "bytes sent a second: ${perSecond.max()}")
    }

    @Test
    fun `entries that start together find each other`() {
        val network = MembershipNetwork(size = 8, seed = 1)
        assertKnown(network, "all") { network.live.all { network.states[it].peers.size == 7 } }
    }

    @Test
    fun `a new incarnation takes the place of the old`() {
        val network = MembershipNetwork(size = 8, seed = 1, acquainted = true)
        network.run(SETTLING)
        network.restart(3, incarnation = 2)
        assertKnown(network, "restart") {
            (network.live - 3).all { network.knowledge(it, 3)!!.state.entry.incarnation == 2L }
        }
    }

    @Test
    fun `a dead entry is forgotten once the platform agrees`() {
        val network = MembershipNetwork(size = 8, seed = 1, acquainted = true)
        network.dead += 2
        network.run(30.seconds)
        assertTrue(network.live.all { network.knowledge(it, 2)!!.suspected })
        network.listed -= 2
        network.run(30.seconds)
        assertTrue(network.live.all { network.knowledge(it, 2) == null })
    }

    @Test
    fun `an entry that was paused suspects nobody for it`() {
        for (seed in 1L..20) {
            val network = MembershipNetwork(size = 8, seed, acquainted = true)
            network.run(SETTLING)
            network.pause(3, 20.seconds)
            network.run(21.seconds)
            assertEquals(0, network.states[3].peers.values.count { it.suspected }, "seed $seed")
            network.run(5.seconds)
            assertTrue(network.live.none { entry -> network.states[entry].peers.values.any { it.suspected } })
        }
    }

    @Test
    fun `an entry cut off from all suspects nobody and is isolated`() {
        val network = MembershipNetwork(size = 8, seed = 1, acquainted = true)
        network.run(SETTLING)
        assertFalse(network.states[3].isIsolated(network.now))
        network.cut += 3
        network.run(30.seconds)
        assertEquals(0, network.states[3].peers.values.count { it.suspected })
        assertTrue(network.states[3].isIsolated(network.now))
        assertTrue((network.live - 3).all { network.knowledge(it, 3)!!.suspected })
        network.cut -= 3
        assertKnown(network, "return") { (network.live - 3).all { !network.knowledge(it, 3)!!.suspected } }
    }

    private fun assertKnown(network: MembershipNetwork, news: String, condition: () -> Boolean) {
        if (news == "revision") network.revisions[0] = CHANGED
        val time: Duration? = network.timeUntil(BOUND, condition)
        println("$news of ${network.states.size} entries: ${time ?: "not within $BOUND"}")
        assertTrue(time != null, "$news is not known everywhere within $BOUND")
    }

    private companion object {
        const val BYTES_A_SECOND = 3_000
        val CHANGED = Revision(2)
        val SETTLING = 12.seconds
        val MEASURED = 20.seconds
        val BOUND = 13.seconds
    }
}
