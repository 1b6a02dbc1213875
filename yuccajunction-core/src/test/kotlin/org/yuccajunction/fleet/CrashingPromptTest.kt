package org.yuccajunction.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Many entries before model servers of which some requests end one after the other; under a hand-moved clock. */
class CrashingPromptTest {
    /** Guards against requests with one part in their prompts that end servers for as long as they come. */
    @Test
    fun `requests with a part that ends servers reach at most three servers later than contact time after the fifth`() {
        for ((entries, servers, soundPerSecond) in FLEETS) {
            for (seed in 1..SEEDS) {
                val fleet = CrashingFleet(seed, entries, servers)
                val part = Culprit()
                fleet.run(5.seconds, soundPerSecond)
                fleet.send(65.seconds, perSecond = 2.5) {
                    fleet.work(WorkKind.STREAM, part = "crashing", culprit = part)
                }
                fleet.run(65.seconds, soundPerSecond)
                val later = part.arrivalsAfter(crash = 5, delay = CONTACT_TIME)
                val seen =
                    "$entries entries, seed $seed: ${part.crashes.size} ends, $later requests after the fifth, " +
                        "${fleet.soundQuarantined} of ${fleet.soundRequests} sound requests refused for their prompt"
                println(seen)
                assertTrue(later <= 3, seen)
                assertTrue(fleet.soundQuarantined == 0, seen)
            }
        }
    }

    /** Guards against sound requests that are refused because their servers ended for causes outside all requests. */
    @Test
    fun `ends of hosts, availability zones and reclaimed servers keep no request from the servers`() {
        for ((entries, servers, soundPerSecond) in FLEETS) {
            for (seed in 1..SEEDS) {
                val fleet = CrashingFleet(seed, entries, servers)
                fleet.run(5.seconds, soundPerSecond)
                fleet.endServers(spread = 50.milliseconds) { it % 4 == 0 }
                fleet.run(15.seconds, soundPerSecond)
                fleet.endServers(spread = 8.seconds) { it % 2 == 1 }
                fleet.run(30.seconds, soundPerSecond)
                repeat(8) { host ->
                    fleet.endServers(spread = 10.milliseconds) { it == host % servers }
                    fleet.run(31.seconds + host.seconds, soundPerSecond)
                }
                val seen =
                    "$entries entries, seed $seed: ${fleet.soundQuarantined} refused and ${fleet.soundFailed} failed " +
                        "of ${fleet.soundRequests}"
                println(seen)
                assertEquals(0, fleet.soundQuarantined, seen)
            }
        }
    }

    private companion object {
        const val SEEDS = 5
        val CONTACT_TIME = 3.seconds

        /** Entries, servers and sound requests per second. */
        val FLEETS = listOf(Triple(9, 8, 80.0), Triple(95, 36, 250.0))
    }
}
