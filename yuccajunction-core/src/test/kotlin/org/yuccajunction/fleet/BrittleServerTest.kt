package org.yuccajunction.fleet

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Many entries before servers that fall over when they turn away too many requests; under a hand-moved clock. */
class BrittleServerTest {
    /** Guards against entries that end servers by what they send to full ones. */
    @Test
    fun `brittle servers fall over no more often than twice and a tenth of their number`() {
        for ((entries, servers, slots) in FLEETS) {
            for (seed in 1..SEEDS) {
                val fleet = BrittleFleet(seed, entries, servers, slots)
                val capacityPerSecond = servers * slots / 0.1
                fleet.run(4.seconds, capacityPerSecond * 0.3)
                fleet.isBrittle = true
                fleet.run(7.seconds, capacityPerSecond * 0.3)
                fleet.silence(1.seconds)
                fleet.run(10.seconds, capacityPerSecond * 0.3)
                fleet.run(16.seconds, capacityPerSecond * 1.3)
                fleet.run(20.seconds, capacityPerSecond * 0.3)
                val allowed = 2 + servers / 10
                val seen = "$entries entries, $servers servers of $slots, seed $seed: ${fleet.falls} falls, " +
                    "$allowed allowed, ${fleet.answered} of ${fleet.requests} answered"
                println(seen)
                assertTrue(fleet.falls <= allowed, seen)
            }
        }
    }

    private companion object {
        const val SEEDS = 3

        /** Entries, servers and the slots of each. */
        val FLEETS = listOf(Triple(9, 4, 6), Triple(9, 8, 64), Triple(95, 36, 16), Triple(95, 6, 6))
    }
}
