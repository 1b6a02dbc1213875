package org.yuccajunction.fleet

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class FleetSimulationTest {
    private val seeds = 1..3
    private val anyServer = { engines: List<SimulatedEngine>, random: Random -> engines[random.nextInt(engines.size)] }
    private val leastRunning = { engines: List<SimulatedEngine>, _: Random -> engines.minBy { it.load.running } }

    private fun inTimeFraction(simulation: FleetSimulation): Double =
        simulation.inTime / simulation.requested.toDouble()

    private fun simulateBoth(
        baseline: (List<SimulatedEngine>, Random) -> SimulatedEngine,
        pattern: (FleetSimulation) -> Unit,
    ): List<Pair<FleetSimulation, FleetSimulation>> =
        seeds.map { seed ->
            FleetSimulation(seed).also(pattern) to FleetSimulation(seed, policy = baseline).also(pattern)
        }

    @Test
    fun `the usual load is served in time and reads few shared parts again`() {
        for ((own, random) in simulateBoth(anyServer) { it.simulate(12_000, FleetSimulation.USUAL) }) {
            assertTrue(inTimeFraction(own) >= 0.97, "in time: ${inTimeFraction(own)}")
            val saved = own.sharedTokensRead / random.sharedTokensRead.toDouble()
            assertTrue(saved <= 0.7, "shared tokens read: $saved of those read by a random choice")
        }
    }

    @Test
    fun `a burst of long prompts is borne better than by a random choice`() {
        val pattern = { simulation: FleetSimulation ->
            simulation.simulate(4_000, FleetSimulation.USUAL)
            simulation.simulate(
                4_000,
                FleetSimulation.USUAL + FleetSimulation.times(1.0, listOf(FleetSimulation.REPORT)),
            )
            simulation.simulate(4_000, FleetSimulation.USUAL)
        }
        for ((own, random) in simulateBoth(anyServer, pattern)) {
            assertTrue(
                inTimeFraction(own) >= inTimeFraction(random),
                "${inTimeFraction(own)} against ${inTimeFraction(random)}",
            )
        }
    }

    @Test
    fun `one hot prompt does not overload its home`() {
        for ((own, random) in simulateBoth(anyServer) { it.simulate(10_000, FleetSimulation.USUAL, hotShare = 0.3) }) {
            assertTrue(
                inTimeFraction(own) >= inTimeFraction(random) - 0.01,
                "${inTimeFraction(own)} against ${inTimeFraction(random)}",
            )
        }
    }

    @Test
    fun `a third of the servers gone is borne as well as by a choice that knows every server's load`() {
        val pattern = { simulation: FleetSimulation ->
            simulation.simulate(3_000, FleetSimulation.USUAL)
            simulation.removeServers(3)
            simulation.simulate(7_000, FleetSimulation.USUAL)
        }
        for ((own, informed) in simulateBoth(leastRunning, pattern)) {
            assertTrue(
                inTimeFraction(own) >= inTimeFraction(informed) - 0.03,
                "${inTimeFraction(own)} against ${inTimeFraction(informed)}",
            )
        }
    }
}
