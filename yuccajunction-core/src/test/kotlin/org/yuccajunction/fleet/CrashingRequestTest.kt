package org.yuccajunction.fleet

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Many entries before servers that end under one request, which comes again and again; under a manual clock. */
class CrashingRequestTest {
    private fun play(
        name: String,
        fleet: Triple<Int, Int, Double>,
        seed: Int,
        disturb: CrashingFleet.() -> Unit = {},
        works: CrashingFleet.() -> List<Work>,
    ) {
        val (entries, servers, soundPerSecond) = fleet
        val played = CrashingFleet(seed, entries, servers)
        played.run(5.seconds, soundPerSecond)
        val crashing = played.works()
        crashing.forEach { work -> played.send(65.seconds, perSecond = REPEATS_PER_SECOND) { work } }
        played.run(30.seconds, soundPerSecond)
        played.disturb()
        played.run(65.seconds, soundPerSecond)
        val later = crashing.map { it.culprit!!.arrivalsAfter(crash = 3, delay = CONTACT_TIME) }
        val seen =
            "$name, $entries entries, seed $seed: ${crashing.map { it.culprit!!.crashes.size }} ends, " +
                "$later requests after the third, ${played.soundQuarantined} refused and ${played.soundFailed} " +
                "failed of ${played.soundRequests} sound requests"
        println(seen)
        assertTrue(later.all { it <= MAX_LATER_REQUESTS }, seen)
        assertTrue(played.soundQuarantined == 0, seen)
    }

    private fun playAll(name: String, disturb: CrashingFleet.() -> Unit = {}, works: CrashingFleet.() -> List<Work>) =
        FLEETS.forEach { fleet -> repeat(SEEDS) { play(name, fleet, seed = it + 1, disturb, works) } }

    /** Guards against a request that ends a server each time that it comes again, at any entry. */
    @Test
    fun `a stream that ends servers reaches at most three servers later than contact time after the third`() =
        playAll("stream") { listOf(work(WorkKind.STREAM, culprit = Culprit())) }

    /** Guards against a stream that ends servers after some events, and resumes at one server after the other. */
    @Test
    fun `a stream that ends servers after some events reaches at most three servers after the third`() =
        playAll("stream with events") {
            listOf(work(WorkKind.STREAM, culprit = Culprit(), crashesAfterEvents = true))
        }

    /** Guards against calls that end servers, which have no prompt parts. */
    @Test
    fun `calls that end servers reach at most three servers later than contact time after the third`() =
        playAll("calls") {
            listOf(
                work(WorkKind.SAFE_CALL, culprit = Culprit()),
                work(WorkKind.SINGLE_CALL, culprit = Culprit()),
            )
        }

    /** Guards against several requests and a prompt part that hide each other. */
    @Test
    fun `several requests that end servers at the same time are each kept from the servers`() =
        playAll("several") {
            val part = Culprit()
            send(65.seconds, perSecond = 2.5) { work(WorkKind.STREAM, part = "crashing", culprit = part) }
            listOf(
                work(WorkKind.STREAM, culprit = Culprit()),
                work(WorkKind.SAFE_CALL, culprit = Culprit()),
                work(WorkKind.STREAM, culprit = Culprit(), crashesAfterEvents = true),
            )
        }

    /** Guards against entries that forget such a request when all of them lose power. */
    @Test
    fun `a request that ends servers is kept from them after all entries have restarted`() =
        playAll("restart", disturb = { restartEntries() }) {
            listOf(work(WorkKind.STREAM, culprit = Culprit()), work(WorkKind.SINGLE_CALL, culprit = Culprit()))
        }

    /** Guards against such a request that is overlooked while servers end for other causes. */
    @Test
    fun `a request that ends servers is found while a quarter of the servers ends at once`() =
        playAll("lost zone", disturb = { endServers(spread = 0.05.seconds) { it % 4 == 0 } }) {
            endServers(spread = 0.05.seconds) { it % 4 == 1 }
            listOf(work(WorkKind.STREAM, culprit = Culprit()))
        }

    private companion object {
        const val SEEDS = 3
        const val REPEATS_PER_SECOND = 1.0
        const val MAX_LATER_REQUESTS = 3
        val CONTACT_TIME = 3.seconds

        /** Entries, servers and sound requests per second. */
        val FLEETS = listOf(Triple(9, 8, 80.0), Triple(95, 36, 250.0))
    }
}
