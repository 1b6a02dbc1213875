package org.yuccajunction.quota

import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class WorkspaceQuotasTest {
    private val policy =
        WorkspacePolicy(
            id = WorkspaceId("workspace"),
            countsTokens = true,
            defaultRequestTokens = 200,
            ratePerSecond = 160_000.0,
            burst = 160_000.0,
        )

    /** Many entries under a hand-moved clock; each tells up to 16 others at a time, all of them in turn. */
    private inner class Entries(private val count: Int, seed: Int) {
        private val random = Random(seed)
        private var quotas = List(count) { WorkspaceQuotas() }
        private var incarnation = 1L
        private val admittedAt = ArrayList<Pair<Int, Double>>()
        private var rounds = 0
        var live = count
        var refused = 0
            private set
        var requested = 0
            private set

        fun simulate(tokensPerSecond: Int, millis: IntRange) {
            val perRequest = 6_000
            refused = 0
            requested = 0
            for (time in millis) {
                val now = MonotonicTime.ZERO + time.milliseconds
                if (time % REPORT_INTERVAL_MILLIS == 0) exchangeReports(now)
                if (random.nextDouble() >= tokensPerSecond / 1_000.0 / perRequest) continue
                val charge = random.nextInt(1, 2 * perRequest).toDouble()
                requested += 1
                val isAdmitted = quotas[random.nextInt(live)].tryConsume(policy, charge, now)
                if (isAdmitted) admittedAt += time to charge else refused += 1
            }
        }

        /** All entries end and start again at [millis]; what they knew is lost. */
        fun restart(millis: Int) {
            incarnation = millis.toLong()
            quotas = List(count) { WorkspaceQuotas(startedAtMillis = incarnation) }
        }

        private fun exchangeReports(now: MonotonicTime) {
            val names = (0 until live).mapTo(HashSet()) { "entry-$it" }
            quotas.take(live).forEach { it.updateLiveEntries(names, now) }
            for (index in 0 until live) {
                for (target in 1..minOf(MAX_RECEIVERS_PER_REPORT, count - 1)) {
                    val receiver = (index + 1 + (rounds * MAX_RECEIVERS_PER_REPORT + target - 1) % (count - 1)) % count
                    quotas[receiver]
                        .recordPeerUsage("entry-$index", incarnation, quotas[index].admittedByWorkspace(), now)
                }
            }
            rounds += 1
        }

        fun worstWindow(length: Int): Double =
            admittedAt.maxOf { (start, _) ->
                admittedAt.filter { it.first in start until start + length }.sumOf { it.second }
            }
    }

    @Test
    fun `a workspace at many times its usual stays within its allowance over all entries`() = assertStaysWithin(8)

    @Test
    fun `a workspace at many times its usual stays within its allowance over 67 entries`() = assertStaysWithin(67)

    private fun assertStaysWithin(count: Int) {
        for (seed in 1..5) {
            val entries = Entries(count, seed)
            entries.simulate(90_000, 0..3_000)
            entries.simulate(650_000, 3_001..14_000)
            val worst = entries.worstWindow(8_000)
            val bound = (8 * 160_000 + 160_000) * 1.1 + 140_000
            assertTrue(worst <= bound, "seed $seed: $worst tokens in 8 s, bound $bound")
        }
    }

    @Test
    fun `a workspace at many times its usual stays within its allowance though all entries start again`() =
        assertStaysWithinOverRestart(8)

    @Test
    fun `a workspace at many times its usual stays within its allowance though 67 entries start again`() =
        assertStaysWithinOverRestart(67)

    private fun assertStaysWithinOverRestart(count: Int) {
        for (seed in 1..5) {
            val entries = Entries(count, seed)
            entries.simulate(90_000, 0..3_000)
            entries.simulate(800_000, 3_001..8_000)
            entries.restart(8_700)
            entries.simulate(800_000, 8_700..16_000)
            val worst = entries.worstWindow(8_000)
            val bound = (8 * 160_000 + 160_000) * 1.1 + 140_000
            assertTrue(worst <= bound, "seed $seed: $worst tokens in 8 s, bound $bound")
        }
    }

    @Test
    fun `entries that are gone take nothing out of an allowance for long`() {
        val entries = Entries(count = 8, seed = 1)
        entries.simulate(90_000, 0..5_000)
        entries.live = 2
        entries.simulate(90_000, 5_001..14_000)
        entries.simulate(90_000, 14_001..24_000)
        assertTrue(entries.refused * 50 <= entries.requested, "${entries.refused} of ${entries.requested}")
    }

    @Test
    fun `a workspace within its allowance is hardly ever refused`() = assertHardlyRefused(8)

    @Test
    fun `a workspace within its allowance is hardly ever refused by 67 entries`() = assertHardlyRefused(67)

    private fun assertHardlyRefused(count: Int) {
        for (seed in 1..5) {
            val entries = Entries(count, seed)
            entries.simulate(90_000, 0..20_000)
            assertTrue(
                entries.refused * 100 <= entries.requested,
                "seed $seed: ${entries.refused} of ${entries.requested}",
            )
        }
    }

    @Test
    fun `a request larger than what is left is admitted while anything is left`() {
        val quotas = WorkspaceQuotas()
        assertTrue(quotas.tryConsume(policy, 150_000.0, MonotonicTime.ZERO))
        assertEquals(false, quotas.tryConsume(policy, 1.0, MonotonicTime.ZERO))
    }

    @Test
    fun `what did not run is given back`() {
        val quotas = WorkspaceQuotas()
        quotas.tryConsume(policy, 150_000.0, MonotonicTime.ZERO)
        quotas.refund(policy, 150_000.0)
        assertTrue(quotas.tryConsume(policy, 1.0, MonotonicTime.ZERO))
    }

    private companion object {
        const val REPORT_INTERVAL_MILLIS = 400
        const val MAX_RECEIVERS_PER_REPORT = 16
    }
}
