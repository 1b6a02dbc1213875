package org.yuccajunction.lease

import org.yuccajunction.lease.LeaseNetwork.Faults
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LeaseBookTest {
    @Test
    fun `a lease is held without a break while nothing fails`() {
        val network = LeaseNetwork(4, seed = 1, Faults())
        network.run(12_000)
        val before = network.heldSteps
        network.run(60_000)
        assertEquals(60_000 / 50, network.heldSteps - before)
        assertEquals(1, network.holders.size)
    }

    @Test
    fun `lost and late calls never make two holders`() =
        assertOneHolder(Faults(lostRequest = 0.1, lostAnswer = 0.2, late = 0.1))

    @Test
    fun `pauses never make two holders`() = assertOneHolder(Faults(pause = 0.005, late = 0.05))

    @Test
    fun `outages never make two holders`() = assertOneHolder(Faults(outage = 0.002, lostAnswer = 0.1))

    @Test
    fun `a store restored to an older state never makes two holders`() =
        assertOneHolder(Faults(restore = 0.002, lostAnswer = 0.05, late = 0.05))

    @Test
    fun `all faults together never make two holders`() =
        assertOneHolder(Faults(0.05, 0.1, 0.05, pause = 0.003, outage = 0.001, restore = 0.001))

    @Test
    fun `the check sees a new holder that does not wait`() {
        val hasty = LeaseSettings().let { it.copy(orderTimeout = -it.usable) }
        val faults = Faults(restore = 0.002, lostAnswer = 0.05, late = 0.05, settings = hasty)
        assertTrue(seeds.any { run(it, faults).usableTogether > 0 })
    }

    private fun assertOneHolder(faults: Faults) {
        var held = 0
        for (seed in seeds) {
            val network = run(seed, faults)
            assertEquals(0, network.usableTogether, "seed $seed")
            assertEquals(network.holders.sortedBy { it.value }, network.holders, "seed $seed")
            held += network.heldSteps
        }
        assertTrue(held > 0, "nobody ever held the lease")
    }

    private fun run(seed: Long, faults: Faults) = LeaseNetwork(4, seed, faults).also { it.run(300_000) }

    private companion object {
        val seeds = 1L..100
    }
}
