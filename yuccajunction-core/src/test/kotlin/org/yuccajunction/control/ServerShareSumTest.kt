package org.yuccajunction.control

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Drives several entries whose instance lists lag by different times, and adds up what they may use. */
class ServerShareSumTest {
    private val servers = (1..4).map(::serverInstance)
    private val serverIds = servers.map { it.serverId() }

    @Test
    fun `the cold permits of all entries never pass the cold limit while entries come and go`() {
        repeat(SEEDS) { seed ->
            val fleet = Fleet(seed, cold = true)
            repeat(STEPS) {
                fleet.step()
                serverIds.forEach { assertTrue(fleet.permits(it) <= 1, "seed $seed step $it: ${fleet.permits(it)}") }
            }
        }
    }

    @Test
    fun `the warm permits of all entries never pass the limit while entries come and go`() {
        repeat(SEEDS) { seed ->
            val fleet = Fleet(seed, cold = false)
            repeat(STEPS) {
                fleet.step()
                serverIds.forEach { assertTrue(fleet.permits(it) <= 8, "seed $seed: ${fleet.permits(it)}") }
            }
        }
    }

    @Test
    fun `a cold server always has an owner again once the list has settled`() {
        repeat(SEEDS) { seed ->
            val fleet = Fleet(seed, cold = true)
            repeat(STEPS) { fleet.step() }
            repeat(QUIET_STEPS) { fleet.step(changes = false) }
            serverIds.forEach { assertEquals(1, fleet.permits(it), "seed $seed") }
        }
    }

    @Test
    fun `a server that turns cold without warning has no more than its cold permits after the next polls`() {
        repeat(SEEDS) { seed ->
            val fleet = Fleet(seed, cold = false)
            repeat(QUIET_STEPS) { fleet.step(changes = false) }
            assertTrue(fleet.permits(serverIds.first()) > 1)
            fleet.cold = true
            repeat(POLL_STEPS) { fleet.step(changes = false) }
            assertEquals(1, fleet.permits(serverIds.first()), "seed $seed")
        }
    }

    private inner class Fleet(private val seed: Int, var cold: Boolean) {
        private val random = Random(seed)
        private val deployment = talkerDeployment()
        private val present = (1..6).associateWith { SimulatedEntry(it, deployment, MonotonicTime.ZERO, seed) }
            .toMutableMap()
        private val readAt = mutableMapOf<SimulatedEntry, MonotonicTime>()
        private val listings = mutableListOf<List<Int>>()
        private var now = MonotonicTime.ZERO

        fun step(changes: Boolean = true) {
            now += STEP
            if (changes && random.nextInt(40) == 0) change()
            listings += present.keys.toList()
            present.values.forEach { entry ->
                if (now >= readAt.getOrDefault(entry, now)) {
                    val listing = listings[maxOf(0, listings.size - 1 - random.nextInt(LARGEST_LAG_STEPS))]
                    entry.list(servers + listing.map(::entryInstance), now)
                    readAt[entry] =
                        now + STEP * if (changes && random.nextInt(20) == 0) CUT_OFF_STEPS else random.nextInt(5, 15)
                }
                entry.tick(now) { LoadReport("1", cold = cold) }
            }
        }

        private fun change() {
            val index = random.nextInt(1, 9)
            if (index in present && present.size > 1) {
                present.remove(index)
            } else {
                present.getOrPut(index) { SimulatedEntry(index, deployment, now, seed) }
            }
        }

        fun permits(server: BackendServerId): Int = present.values.sumOf { it.permits(server) }
    }

    private companion object {
        const val SEEDS = 40
        const val STEPS = 600
        const val QUIET_STEPS = 120
        const val POLL_STEPS = 14
        const val CUT_OFF_STEPS = 60
        const val LARGEST_LAG_STEPS = 15
        val STEP = 100.milliseconds
    }
}
