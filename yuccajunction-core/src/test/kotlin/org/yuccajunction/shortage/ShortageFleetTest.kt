package org.yuccajunction.shortage

import kotlin.math.sqrt
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Compares a burst of demand with and without admission under shortage, for fleets of many entries. */
class ShortageFleetTest {
    private fun burst(entries: Int, kind: ShortageFleet.Kind): ShortageBurst {
        val name = "$entries entries, rank ${kind.rank} at 2.5 times"
        ShortageBurst(ShortageFleet(SEED, entries, isAdmissionActive = false), kind).print("$name, without")
        return ShortageBurst(ShortageFleet(SEED, entries), kind).also { it.print("$name, with") }
    }

    private fun assertUrgency(burst: ShortageBurst) {
        assertTrue(burst.servedComparedWithUsual(rank = 0) >= 0.95, "the most urgent class")
        for (rank in 1..2) {
            assertTrue(burst.servedFraction(rank - 1) >= burst.servedFraction(rank) - 0.05, "ranks ${rank - 1}, $rank")
        }
    }

    private fun assertBackToNormal(burst: ShortageBurst) {
        val from = ShortageBurst.BURST_UNTIL + 2.seconds
        val served = burst.servedBetween(from, from + 4.seconds)
        println("    served from 2 s to 6 s after the burst: %.3f".format(served))
        assertTrue(served >= 0.95, "after the burst: $served")
    }

    /** Checks the bound for all workspaces together, and for each one with three deviations of so small a sample. */
    private fun assertShares(burst: ShortageBurst) {
        val losses = burst.lossOfOthers().filterKeys { it in burst.workspacesWithinShare() }
        println(
            "    ${losses.size} workspaces within their shares lose %.3f on average, at most %.3f"
                .format(losses.values.average(), losses.values.max()),
        )
        assertTrue(losses.values.average() <= SHARE_LOSS, "${losses.values.average()} on average")
        for ((workspace, loss) in losses) {
            val deviation = sqrt(SHARE_LOSS * (1 - SHARE_LOSS) / burst.requestsOf(workspace))
            assertTrue(loss <= SHARE_LOSS + 3 * deviation, "workspace $workspace loses $loss")
        }
    }

    /** Guards against urgent requests that wait behind others, and workspaces that pay for the demand of others. */
    @Test
    fun `70 entries keep to urgency and shares while the least urgent class is hot`() {
        val burst = burst(70, ShortageFleet.TAG)
        assertUrgency(burst)
        assertShares(burst)
        assertBackToNormal(burst)
    }

    @Test
    fun `89 entries keep to urgency and shares while the least urgent class is hot`() {
        val burst = burst(89, ShortageFleet.TAG)
        assertUrgency(burst)
        assertShares(burst)
        assertBackToNormal(burst)
    }

    /** Guards against an inversion of ranks where the class in the middle takes all capacity. */
    @Test
    fun `70 and 89 entries keep to urgency while the class in the middle is hot`() {
        for (entries in listOf(70, 89)) {
            val burst = burst(entries, ShortageFleet.REPORT)
            assertUrgency(burst)
        }
    }

    /** Guards against the same where the most urgent class alone needs all capacity. */
    @Test
    fun `70 and 89 entries keep to urgency while the most urgent class is hot`() {
        for (entries in listOf(70, 89)) assertUrgency(burst(entries, ShortageFleet.QUESTION))
    }

    /** Guards against a level that stays after the burst, also where callers with much time left come back for long. */
    @Test
    fun `service is back to normal after a burst of the most urgent class`() =
        assertBackToNormal(ShortageBurst(ShortageFleet(SEED, 70), ShortageFleet.QUESTION))

    @Test
    fun `service is back to normal after a burst of the class in the middle`() =
        assertBackToNormal(ShortageBurst(ShortageFleet(SEED, 70), ShortageFleet.REPORT))

    /** Guards against rejections that waste capacity, by the true state of the servers. */
    @Test
    fun `no request is rejected while a tenth of all slots is free`() {
        val rejections = ShortageBurst(ShortageFleet(SEED, 70), ShortageFleet.TAG).fleet.rejections
        assertEquals(0, rejections.count { it.isRoomLeft }, "of ${rejections.size} rejections")
    }

    @Test
    fun `70 entries keep to shares while the most urgent class is hot`() = assertShares(
        burst(70, ShortageFleet.QUESTION),
    )

    @Test
    fun `89 entries keep to shares while the most urgent class is hot`() = assertShares(
        burst(89, ShortageFleet.QUESTION),
    )

    /** Guards against entries that reject by chance, as each sees few requests. */
    @Test
    fun `no request is rejected at the usual demand`() {
        val burst = burst(70, ShortageFleet.TAG)
        assertEquals(0, burst.rejectionsBetween(ShortageBurst.USUAL_FROM, ShortageBurst.BURST_FROM))
    }

    /** Guards against entries that reject nothing, or everything, where they hear little of each other. */
    @Test
    fun `urgency holds while half of the messages between entries or all of them are lost`() {
        for (lost in listOf(0.5, 1.0)) {
            val fleet = ShortageFleet(SEED, 70)
            val burst = ShortageBurst(fleet, ShortageFleet.TAG) { fleet.lostFraction = lost }
            burst.print("$lost of the messages lost from the begin of the burst")
            assertUrgency(burst)
            assertBackToNormal(burst)
        }
    }

    private companion object {
        const val SEED = 1

        /** Part of its requests that a workspace within its share may lose more than usually. */
        const val SHARE_LOSS = 0.05
    }
}
