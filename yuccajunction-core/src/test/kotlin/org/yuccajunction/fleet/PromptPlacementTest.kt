package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.routing.RendezvousHash
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Requests are placed by cached prompts no worse than the better of "always at the preferred server" and "never".
 *
 * Load 1 is [FleetSimulation.USUAL], about what the 8 engines can do: at 4 times that, they began 89 requests a second.
 */
class PromptPlacementTest {
    private enum class Policy { OWN, ALWAYS, NEVER }

    private fun preferred(engines: List<SimulatedEngine>, request: ForwardRequest): SimulatedEngine {
        val key = RendezvousHash.hash(request.promptParts.first().id)
        return engines.maxBy { RendezvousHash.score(RendezvousHash.hash(it.server.id.value), key) }
    }

    private fun meanMillis(policy: Policy, entries: Int, memory: Int, pattern: (FleetSimulation) -> Unit): Double =
        (1..SEEDS).map { seed ->
            val fleet = FleetSimulation(
                seed,
                entries,
                placement = if (policy == Policy.ALWAYS) ::preferred else null,
                seen = { if (policy == Policy.NEVER) it.copy(promptParts = persistentListOf()) else it },
                sendsAll = true,
                speed = SimulatedEngine.EngineSpeed(157.0, 3.55, 0.0, 2_048, 12, 1, true, 100, memory),
            )
            pattern(fleet)
            fleet.simulate(20_000, emptyList())
            fleet.firstEventMillis.average()
        }.average()

    private fun assertPlacedWell(
        name: String,
        ratio: Double,
        entries: Int = 8,
        memory: Int = 524_342,
        pattern: (FleetSimulation) -> Unit,
    ) {
        val (own, always, never) = Policy.entries.map { meanMillis(it, entries, memory, pattern) }
        println("$name: mean time to first event %.1f, always %.1f, never %.1f ms".format(own, always, never))
        assertTrue(own <= minOf(always, never) * ratio, "$own ms, always preferred $always ms, never $never ms")
    }

    private fun atLoad(load: Double, hotShare: Double = 0.0): (FleetSimulation) -> Unit = { fleet ->
        fleet.simulate(30_000, FleetSimulation.times(load), hotShare)
        fleet.firstEventMillis.clear()
        fleet.simulate(20_000, FleetSimulation.times(load), hotShare)
    }

    private fun targetRatio(load: Double) = if (load in 0.6..0.9) 0.9 else 1.0

    @TestFactory
    fun `placed well at each load`(): List<DynamicTest> =
        listOf(0.2, 0.4, 0.6, 0.75, 0.9, 1.05, 1.2).map { load ->
            DynamicTest.dynamicTest("load $load") {
                assertPlacedWell("load $load", targetRatio(load), pattern = atLoad(load))
            }
        }

    @TestFactory
    fun `placed well at each load with one prompt part in 28 percent of the requests of a class`(): List<DynamicTest> =
        listOf(0.2, 0.4, 0.6, 0.75, 0.9, 1.05, 1.2).map { load ->
            DynamicTest.dynamicTest("load $load") {
                assertPlacedWell("load $load, one part in 0.28", targetRatio(load), pattern = atLoad(load, 0.28))
            }
        }

    @Test
    fun `placed well while engines have hardly any memory left for cached prompts`() =
        assertPlacedWell("little memory", targetRatio(0.75), memory = 130_000, pattern = atLoad(0.75))

    @Test
    fun `placed well by 40 entries that each hear of an engine every 5 s`() =
        assertPlacedWell("40 entries", targetRatio(0.75), entries = 40, pattern = atLoad(0.75))

    @Test
    fun `placed well while half of the engines restart with empty caches`() =
        assertPlacedWell("restart", targetRatio(0.75)) { fleet ->
            fleet.simulate(30_000, FleetSimulation.times(0.75))
            fleet.firstEventMillis.clear()
            fleet.restartServers(4)
            fleet.simulate(20_000, FleetSimulation.times(0.75))
        }

    @Test
    fun `placed well when the preferred server of a popular prefix fills up and has capacity again`() =
        assertPlacedWell("popular prefix", targetRatio(0.75)) { fleet ->
            fleet.simulate(30_000, FleetSimulation.times(0.6))
            fleet.firstEventMillis.clear()
            fleet.simulate(5_000, FleetSimulation.times(0.9), hotShare = 0.8)
            fleet.simulate(15_000, FleetSimulation.times(0.6))
        }

    private companion object {
        const val SEEDS = 3
    }
}
