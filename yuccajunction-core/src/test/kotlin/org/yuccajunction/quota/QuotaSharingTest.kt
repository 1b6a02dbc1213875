package org.yuccajunction.quota

import org.yuccajunction.entries.PeerTable
import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Compares quotas that entries count apart with one exact count, for demand that moves between the entries. */
class QuotaSharingTest {
    private val tolerance = QuotaTolerance(window = 8.seconds, excessFraction = 0.1, slack = 110_000.0)

    private fun policy(ratePerSecond: Double) =
        WorkspacePolicy(WorkspaceId("w"), countsTokens = true, ratePerSecond = ratePerSecond, burst = ratePerSecond)

    /** What a simulation admitted, and what it refused although one exact count would have admitted it. */
    private class Outcome(val requested: Int, val refused: Int, val refusedByExactCount: Int, val worstWindow: Double)

    /**
     * Plays requests in clumps of three that go to random entries, of 9,000 tokens on average with a heavy tail.
     *
     * The demand is [usualFraction] of the quota and [hotFraction] from the fifth second on.
     */
    private fun simulate(
        entries: Int,
        policy: WorkspacePolicy,
        seed: Int,
        usualFraction: Double,
        hotFraction: Double,
    ): Outcome {
        val random = Random(seed)
        val quotas = List(entries) { WorkspaceQuotas(tolerance, random = random) }
        val exact = WorkspaceQuotas()
        val admitted = ArrayList<Pair<Int, Double>>()
        var requested = 0
        var refused = 0
        var refusedByExactCount = 0
        val reports = Reports(quotas)
        for (millis in 0 until DURATION_MILLIS) {
            val now = MonotonicTime.ZERO + millis.milliseconds
            reports.exchangeAt(millis, now)
            val fraction = if (millis < HOT_FROM_MILLIS) usualFraction else hotFraction
            val clumpsPerMilli = policy.ratePerSecond * fraction / MEAN_TOKENS / CLUMP / 1_000
            if (random.nextDouble() >= clumpsPerMilli) continue
            val entry = quotas[random.nextInt(entries)]
            repeat(CLUMP) {
                val charge = charge(random)
                requested += 1
                if (!exact.tryConsume(policy, charge, now)) refusedByExactCount += 1
                if (entry.tryConsume(policy, charge, now)) admitted += millis to charge else refused += 1
            }
        }
        val worst = admitted.maxOf { (start, _) ->
            admitted.filter { it.first in start until start + 8_000 }.sumOf { it.second }
        }
        return Outcome(requested, refused, refusedByExactCount, worst)
    }

    private fun charge(random: Random): Double =
        MEAN_TOKENS * exp(random.asJavaRandom().nextGaussian() * SPREAD - SPREAD * SPREAD / 2)

    /** Reports of the entries to each other in turn, as [PeerTable] sends them. */
    private class Reports(private val quotas: List<WorkspaceQuotas>) {
        private val names = quotas.indices.mapTo(HashSet()) { "entry-$it" }
        private var rounds = 0

        fun exchangeAt(millis: Int, now: MonotonicTime) {
            if (millis % REPORT_INTERVAL_MILLIS != 0) return
            val receivers = minOf(PeerTable.MAX_HEARTBEAT_TARGETS, quotas.size - 1)
            quotas.forEach { it.updateLiveEntries(names, names.size, now) }
            for (index in quotas.indices) {
                for (target in 0 until receivers) {
                    val offset = (rounds * receivers + target) % (quotas.size - 1)
                    quotas[(index + 1 + offset) % quotas.size]
                        .recordPeerUsage("entry-$index", 1, quotas[index].admittedByWorkspace(), now)
                }
            }
            rounds += 1
        }
    }

    private fun assertSharesWell(entries: Int) {
        for (rate in listOf(29_000.0, 96_000.0, 160_000.0)) {
            val policy = policy(rate)
            val usual = (1..3).map { simulate(entries, policy, it, usualFraction = 0.55, hotFraction = 0.55) }
            val hot = (1..3).map { simulate(entries, policy, it, usualFraction = 0.55, hotFraction = 4.2) }
            val requested = usual.sumOf { it.requested }
            val refused = usual.sumOf { it.refused }
            val bound = 9 * rate + tolerance.of(policy)
            val worst = (usual + hot).maxOf { it.worstWindow }
            println(
                "$entries entries, rate $rate: $refused of $requested refused within the quota, " +
                    "${usual.sumOf { it.refusedByExactCount }} by an exact count; " +
                    "worst window ${"%.3f".format(worst / bound)} of the bound",
            )
            val refusedByExactCount = usual.sumOf { it.refusedByExactCount }
            assertTrue(
                refused - refusedByExactCount <= requested / 100,
                "$entries entries, rate $rate: $refused of $requested refused, $refusedByExactCount by an exact count",
            )
            assertTrue(worst <= bound, "$entries entries, rate $rate: $worst tokens in 8 s, bound $bound")
        }
    }

    @Test
    fun `9 entries refuse hardly more than one exact count and exceed no quota`() = assertSharesWell(9)

    @Test
    fun `70 entries refuse hardly more than one exact count and exceed no quota`() = assertSharesWell(70)

    @Test
    fun `95 entries refuse hardly more than one exact count and exceed no quota`() = assertSharesWell(95)

    @Test
    fun `410 entries refuse hardly more than one exact count and exceed no quota`() = assertSharesWell(410)

    private companion object {
        const val DURATION_MILLIS = 20_000
        const val HOT_FROM_MILLIS = 5_000
        const val REPORT_INTERVAL_MILLIS = 500
        const val MEAN_TOKENS = 9_000.0
        const val SPREAD = 0.8
        const val CLUMP = 3
    }
}
