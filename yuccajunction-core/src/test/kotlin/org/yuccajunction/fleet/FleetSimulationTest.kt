package org.yuccajunction.fleet

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class FleetSimulationTest {
    private val seeds = 1..3
    private val anyServer = { engines: List<SimulatedEngine>, random: Random -> engines[random.nextInt(engines.size)] }
    private val leastRunning = { engines: List<SimulatedEngine>, _: Random -> engines.minBy { it.runningCount } }

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
    fun `under the usual load, 97 percent are in time and few shared tokens are processed again`() {
        for ((own, random) in simulateBoth(anyServer) { it.simulate(12_000, FleetSimulation.USUAL) }) {
            assertTrue(inTimeFraction(own) >= 0.97, "fraction in time: ${inTimeFraction(own)}")
            val saved = own.sharedTokensRead / random.sharedTokensRead.toDouble()
            assertTrue(saved <= 0.7, "shared tokens read: $saved of those read by a random choice")
        }
    }

    @Test
    fun `in a burst of long prompts, at least as many requests are in time as with a random choice`() {
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
                "fraction in time: ${inTimeFraction(own)}, with a random choice ${inTimeFraction(random)}",
            )
        }
    }

    @Test
    fun `one hot prompt does not overload the server that its prefix prefers`() {
        for ((own, random) in simulateBoth(anyServer) { it.simulate(10_000, FleetSimulation.USUAL, hotShare = 0.3) }) {
            assertTrue(
                inTimeFraction(own) >= inTimeFraction(random) - 0.01,
                "fraction in time: ${inTimeFraction(own)}, with a random choice ${inTimeFraction(random)}",
            )
        }
    }

    @Test
    fun `without 3 of 8 servers, about as many requests are in time as with a choice of the least running`() {
        val pattern = { simulation: FleetSimulation ->
            simulation.simulate(3_000, FleetSimulation.USUAL)
            simulation.removeServers(3)
            simulation.simulate(7_000, FleetSimulation.USUAL)
        }
        for ((own, informed) in simulateBoth(leastRunning, pattern)) {
            assertTrue(
                inTimeFraction(own) >= inTimeFraction(informed) - 0.03,
                "fraction in time: ${inTimeFraction(own)}, with the least running ${inTimeFraction(informed)}",
            )
        }
    }

    @Test
    fun `while too few engines are left, more requests are in time than if all were sent to the least running`() {
        val speed = SimulatedEngine.EngineSpeed(36.1, 3.47, stepMillisPerRunning = 0.16, chunkTokens = 1_024)
        val pattern = { simulation: FleetSimulation ->
            simulation.simulate(4_000, FleetSimulation.USUAL)
            simulation.removeServers(5)
            simulation.simulate(10_000, FleetSimulation.USUAL)
        }
        for (seed in seeds) {
            val own = FleetSimulation(seed, speed = speed).also(pattern)
            val all = FleetSimulation(seed, policy = leastRunning, speed = speed).also(pattern)
            println("3 of 8 engines: in time ${inTimeFraction(own)}, least running ${inTimeFraction(all)}")
            assertTrue(
                inTimeFraction(own) >= inTimeFraction(all) + 0.1,
                "fraction in time: ${inTimeFraction(own)}, with the least running ${inTimeFraction(all)}",
            )
        }
    }
}
