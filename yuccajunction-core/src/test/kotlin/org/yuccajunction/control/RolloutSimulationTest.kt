package org.yuccajunction.control

import org.yuccajunction.document.VersionMove
import org.yuccajunction.model.RequestClass
import org.yuccajunction.rollout.MovePhase
import org.yuccajunction.rollout.MoveStatus
import org.yuccajunction.routing.LoadBoundedServerChooser
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Moves modelled versions with different faults behind four entries that share a store and heartbeats.
 *
 * Bounds, stated beforehand: before there is evidence the new version gets its first share; six seconds after a fault
 * has been seen ten times by all entries together it gets nothing new; a good version is in force in the set time.
 */
class RolloutSimulationTest {
    @Test
    fun `a good version is in force in time although its servers start cold`() {
        SEEDS.forEach { seed ->
            val run = SimulatedMove(seed).drive { second, new -> if (second == 8) new.warm() }
            assertEquals(MovePhase.DONE, run.status.phase, "seed $seed: ${run.status}")
            assertTrue(run.status.elapsedSeconds <= MOVE.completeWithinSeconds)
        }
    }

    @Test
    fun `a version that fails at once is taken back within its first share`() {
        SEEDS.forEach { seed ->
            val run = SimulatedMove(seed) { new -> new.startFailing() }.drive()
            run.assertTakenBack("failed")
            println("failing at once: share of requests at the new version ${run.shareOfNew()}")
            assertTrue(run.shareOfNew() <= 0.05, "seed $seed: ${run.shareOfNew()}")
            run.assertNothingNewAfterFaults(faultsFromSecond = 0)
        }
    }

    @Test
    fun `a version that fails later is taken back`() {
        SEEDS.forEach { seed ->
            val run = SimulatedMove(seed).drive { second, new -> if (second == 40) new.startFailing() }
            run.assertTakenBack("failed")
            run.assertNothingNewAfterFaults(faultsFromSecond = 40)
        }
    }

    @Test
    fun `a version that fails on one route only is taken back`() {
        SEEDS.forEach { seed ->
            val run = SimulatedMove(seed) { new -> new.forEach { it.fails = { route -> route == "tag" } } }.drive()
            run.assertTakenBack("failed")
        }
    }

    @Test
    fun `a slow version is taken back`() {
        SEEDS.forEach { seed ->
            val run = SimulatedMove(seed) { new -> new.forEach { it.slowdownFactor = 3.0 } }.drive()
            run.assertTakenBack("slow")
            assertTrue(run.shareOfNew() <= 0.1, "seed $seed: ${run.shareOfNew()}")
        }
    }

    @Test
    fun `a version that is slow under load only is taken back`() {
        SEEDS.forEach { seed ->
            SimulatedMove(seed) { new -> new.forEach { it.slowAbove = 2 } }.drive().assertTakenBack("slow")
        }
    }

    @Test
    fun `load that slows both versions is not taken for a fault of the new one`() {
        SEEDS.forEach { seed ->
            val run = SimulatedMove(seed, load = 2.0).drive()
            assertEquals(MovePhase.DONE, run.status.phase, "seed $seed: ${run.status}")
        }
    }

    @Test
    fun `without the store the share stays and a veto goes on working`() {
        SEEDS.forEach { seed ->
            val run =
                SimulatedMove(seed).drive { second, new ->
                    if (second == 25) store.isAvailable = false
                    if (second == 60) new.startFailing()
                }
            assertEquals(MovePhase.MOVING, run.status.phase)
            run.assertNothingNewAfterFaults(faultsFromSecond = 60)
        }
    }

    @Test
    fun `a move without servers of the new version is taken back at its time`() {
        val run = SimulatedMove(1, newServers = 0).drive()
        run.assertTakenBack("no server of v2")
    }

    private class SimulatedMove(
        private val seed: Int,
        private val load: Double = 1.0,
        newServers: Int = 8,
        prepare: (List<SimulatedServer>) -> Unit = {},
    ) {
        val store = SimulatedObjectStore()
        private val old = (1..8).map { SimulatedServer(serverInstance(it), ServiceSimulation.LIMIT) }
        private val new =
            (1..newServers).map {
                SimulatedServer(serverInstance(it + 20, VERSION_2), ServiceSimulation.LIMIT)
            }.onEach {
                it.coldLimit = 1
            }
        private val demands =
            listOf(
                Demand("nile-central", RequestClass.DRAFT, 20.0 * load),
                Demand("nile-giza", RequestClass.INTERACTIVE, 10.0 * load, route = "tag"),
            )
        private val model =
            ServiceSimulation(
                seed = seed,
                demands = demands,
                servers = old + new,
                entryCount = 4,
                moves = listOf(MOVE),
                store = store,
                chooser = ::LoadBoundedServerChooser,
            )
        val status: MoveStatus get() = model.boards.first().rollout.moves.getValue(MOVE.name)

        init {
            prepare(new)
        }

        fun drive(
            at: SimulatedMove.(Int, List<SimulatedServer>) -> Unit = { second, new ->
                warmUp(second, new)
            },
        ): SimulatedMove {
            model.run(MOVE.completeWithinSeconds.toInt() + 10) { second ->
                warmUp(second, new)
                at(second, new)
            }
            return this
        }

        private fun warmUp(second: Int, servers: List<SimulatedServer>) {
            if (second == 8) servers.warm()
        }

        fun shareOfNew(): Double = newDispatches().size.toDouble() / model.dispatches.size

        private fun newDispatches(): List<Long> = model.dispatches.filter { it.second == VERSION_2 }.map { it.first }

        fun assertTakenBack(reason: String) {
            assertEquals(MovePhase.TAKEN_BACK, status.phase, "seed $seed: $status")
            assertTrue(reason in status.detail, "seed $seed: ${status.detail}")
        }

        fun assertNothingNewAfterFaults(faultsFromSecond: Int) {
            val faulty = newDispatches().filter { it >= faultsFromSecond * 1_000 }
            val shown = faulty.getOrNull(INDEX_OF_TENTH_ATTEMPT) ?: return
            val late = faulty.count { it > shown + 6_000 }
            assertEquals(
                0,
                late,
                "seed $seed: ${faulty.size} attempts, the tenth at $shown, the last at ${faulty.last()}",
            )
        }
    }

    private companion object {
        fun List<SimulatedServer>.warm() = forEach { it.coldLimit = null }

        fun List<SimulatedServer>.startFailing() = forEach { it.fails = { true } }

        val SEEDS = 1..Integer.getInteger("model.seeds", 3)
        const val INDEX_OF_TENTH_ATTEMPT = 9
        val MOVE = VersionMove("talker-v2", TALKER, VERSION_1, VERSION_2, completeWithinSeconds = 120)
    }
}
