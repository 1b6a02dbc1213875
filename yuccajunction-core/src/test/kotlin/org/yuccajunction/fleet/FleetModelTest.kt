package org.yuccajunction.fleet

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class FleetModelTest {
    private val seeds = 1..3
    private val anyServer = { engines: List<ModelEngine>, random: Random -> engines[random.nextInt(engines.size)] }
    private val leastRunning = { engines: List<ModelEngine>, _: Random -> engines.minBy { it.load.running } }

    private fun share(model: FleetModel): Double = model.inTime / model.asked.toDouble()

    private fun compared(
        baseline: (List<ModelEngine>, Random) -> ModelEngine,
        pattern: (FleetModel) -> Unit,
    ): List<Pair<FleetModel, FleetModel>> =
        seeds.map { seed -> FleetModel(seed).also(pattern) to FleetModel(seed, chooses = baseline).also(pattern) }

    @Test
    fun `the usual load is served in time and reads few shared parts again`() {
        for ((own, random) in compared(anyServer) { it.play(12_000, FleetModel.USUAL) }) {
            assertTrue(share(own) >= 0.97, "in time: ${share(own)}")
            val saved = own.sharedTokensRead / random.sharedTokensRead.toDouble()
            assertTrue(saved <= 0.7, "shared tokens read: $saved of those read by a random choice")
        }
    }

    @Test
    fun `a burst of long prompts is borne better than by a random choice`() {
        val pattern = { model: FleetModel ->
            model.play(4_000, FleetModel.USUAL)
            model.play(4_000, FleetModel.USUAL + FleetModel.times(1.0, listOf(FleetModel.REPORT)))
            model.play(4_000, FleetModel.USUAL)
        }
        for ((own, random) in compared(anyServer, pattern)) {
            assertTrue(share(own) >= share(random), "${share(own)} against ${share(random)}")
        }
    }

    @Test
    fun `one hot prompt does not overload its home`() {
        for ((own, random) in compared(anyServer) { it.play(10_000, FleetModel.USUAL, hotShare = 0.3) }) {
            assertTrue(share(own) >= share(random) - 0.01, "${share(own)} against ${share(random)}")
        }
    }

    @Test
    fun `a third of the servers gone is borne as well as by a choice that knows every server's load`() {
        val pattern = { model: FleetModel ->
            model.play(3_000, FleetModel.USUAL)
            model.lose(3)
            model.play(7_000, FleetModel.USUAL)
        }
        for ((own, informed) in compared(leastRunning, pattern)) {
            assertTrue(share(own) >= share(informed) - 0.03, "${share(own)} against ${share(informed)}")
        }
    }
}
