package org.yuccajunction.lease

import org.yuccajunction.lease.LeaseSimulation.Faults
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LeaseManagerTest {
    @Test
    fun `without faults one entry holds the lease without interruption`() {
        val simulation = LeaseSimulation(4, seed = 1, Faults())
        simulation.run(12_000)
        val before = simulation.stepsWithHolder
        simulation.run(60_000)
        assertEquals(60_000 / 50, simulation.stepsWithHolder - before)
        assertEquals(1, simulation.heldFencingNumbers.size)
    }

    @Test
    fun `lost and late calls never lead to two holders`() =
        assertOneHolder(Faults(lostRequest = 0.1, lostAnswer = 0.2, longDelay = 0.1))

    @Test
    fun `paused entries never lead to two holders`() = assertOneHolder(Faults(pause = 0.005, longDelay = 0.05))

    @Test
    fun `outages of the object API never lead to two holders`() =
        assertOneHolder(Faults(outage = 0.002, lostAnswer = 0.1))

    @Test
    fun `an object API restored to an older state never leads to two holders`() =
        assertOneHolder(Faults(restore = 0.002, lostAnswer = 0.05, longDelay = 0.05))

    @Test
    fun `all faults together never lead to two holders`() =
        assertOneHolder(Faults(0.05, 0.1, 0.05, pause = 0.003, outage = 0.001, restore = 0.001))

    @Test
    fun `the simulation detects two holders if a new holder acts without the takeover delay`() {
        val withoutTakeoverDelay = LeaseSettings().let { it.copy(orderTimeout = -it.usableDuration) }
        val faults = Faults(restore = 0.002, lostAnswer = 0.05, longDelay = 0.05, settings = withoutTakeoverDelay)
        assertTrue(seeds.any { run(it, faults).stepsWithSeveralHolders > 0 })
    }

    private fun assertOneHolder(faults: Faults) {
        var stepsWithHolder = 0
        for (seed in seeds) {
            val simulation = run(seed, faults)
            assertEquals(0, simulation.stepsWithSeveralHolders, "seed $seed")
            assertEquals(
                simulation.heldFencingNumbers.sortedBy {
                    it.value
                },
                simulation.heldFencingNumbers,
                "seed $seed",
            )
            stepsWithHolder += simulation.stepsWithHolder
        }
        assertTrue(stepsWithHolder > 0, "no entry ever held the lease")
    }

    private fun run(seed: Long, faults: Faults) = LeaseSimulation(4, seed, faults).also { it.run(300_000) }

    private companion object {
        val seeds = 1L..100
    }
}
