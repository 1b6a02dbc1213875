package org.yuccajunction.fleet

import kotlin.math.abs
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Engines that differ by more than ten times in speed are predicted and chosen well, without any figure of theirs. */
class LearnedLatencyTest {
    private class Measured(val errors: List<Double>, val inTime: Double)

    private fun simulate(
        speed: SimulatedEngine.EngineSpeed,
        kinds: List<FleetSimulation.Kind>,
        policy: ((List<SimulatedEngine>, Random) -> SimulatedEngine)?,
    ): Measured {
        val errors = ArrayList<Double>()
        var answers = 0
        val simulation =
            FleetSimulation(seed = 1, entries = 2, policy = policy, speed = speed) { _, predicted, measured ->
                answers += 1
                if (answers > LEARNING_ANSWERS) errors += abs(predicted - measured)
            }
        simulation.simulate(DURATION_MILLIS, kinds)
        return Measured(errors, simulation.inTime / simulation.requested.toDouble())
    }

    private fun assertPredictsAndChoosesWell(
        name: String,
        speed: SimulatedEngine.EngineSpeed,
        kinds: List<FleetSimulation.Kind>,
    ) {
        var next = 0
        val own = simulate(speed, kinds, policy = null)
        val leastRequests = simulate(speed, kinds) { engines, _ -> engines.minBy { it.runningCount + it.waitingCount } }
        val roundRobin = simulate(speed, kinds) { engines, _ -> engines[next++ % engines.size] }
        val target = kinds.minOf { it.targetMillis }
        val error = own.errors.sorted()[own.errors.size * 9 / 10]
        println(
            "$name: p90 error ${error.toInt()} of ${target.toInt()} ms; in time ${"%.3f".format(own.inTime)}, " +
                "least requests ${"%.3f".format(leastRequests.inTime)}, " +
                "round robin ${"%.3f".format(roundRobin.inTime)}",
        )
        assertTrue(error <= target / 2, "p90 error $error ms of $target ms")
        assertTrue(own.inTime >= leastRequests.inTime - 0.01, "${own.inTime}, least requests ${leastRequests.inTime}")
        assertTrue(own.inTime >= roundRobin.inTime - 0.01, "${own.inTime}, round robin ${roundRobin.inTime}")
    }

    @Test
    fun `fast engines`() =
        assertPredictsAndChoosesWell("fast", SimulatedEngine.EngineSpeed(), FleetSimulation.USUAL)

    @Test
    fun `engines with a fourth of the prompt speed, whose steps grow with the batch`() =
        assertPredictsAndChoosesWell(
            "slow prompts",
            SimulatedEngine.EngineSpeed(36.1, 3.47, stepMillisPerRunning = 0.16, chunkTokens = 1_024),
            FleetSimulation.times(0.5),
        )

    @Test
    fun `engines ten times slower`() =
        assertPredictsAndChoosesWell(
            "ten times slower",
            SimulatedEngine.EngineSpeed(14.0, 22.0, chunkTokens = 512),
            FleetSimulation.times(0.1).map {
                FleetSimulation.Kind(
                    it.perSecond,
                    it.sharedTokens,
                    it.ownTokens,
                    it.answerTokens,
                    it.prompts,
                    it.targetMillis * 5,
                )
            },
        )

    @Test
    fun `engines whose steps grow steeply with the batch`() =
        assertPredictsAndChoosesWell(
            "steep steps",
            SimulatedEngine.EngineSpeed(140.0, 2.2, stepMillisPerRunning = 1.0, slots = 16),
            FleetSimulation.times(0.3),
        )

    private companion object {
        /** Answers after which predictions count. */
        const val LEARNING_ANSWERS = 200
        const val DURATION_MILLIS = 40_000
    }
}
