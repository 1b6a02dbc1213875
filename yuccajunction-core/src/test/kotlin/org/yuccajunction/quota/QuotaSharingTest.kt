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
    private class Outcome(
        val requested: Int,
        val refused: Int,
        val refusedByExactCount: Int,
        val worstWindow: Double,
        val admittedInFirstSecond: Double,
        val urgentReports: Int,
        val admittedInFirstSecondByExactCount: Double,
    )

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
        durationMillis: Int = DURATION_MILLIS,
    ): Outcome {
        val random = Random(seed)
        val urgent = LinkedHashSet<Int>()
        val quotas = List(entries) { WorkspaceQuotas(tolerance, random = random) { urgent += it } }
        quotas.forEach { it.updatePolicies(listOf(policy)) }
        val exact = WorkspaceQuotas()
        val admitted = ArrayList<Pair<Int, Double>>()
        val admittedByExactCount = ArrayList<Pair<Int, Double>>()
        var requested = 0
        var refused = 0
        var refusedByExactCount = 0
        val reports = Reports(quotas, urgent)
        for (millis in 0 until durationMillis) {
            val now = MonotonicTime.ZERO + millis.milliseconds
            reports.exchangeAt(millis, now)
            val fraction = if (millis < HOT_FROM_MILLIS) usualFraction else hotFraction
            val clumpsPerMilli = policy.ratePerSecond * fraction / MEAN_TOKENS / CLUMP / 1_000
            if (random.nextDouble() >= clumpsPerMilli) continue
            val entry = quotas[random.nextInt(entries)]
            repeat(CLUMP) {
                val charge = charge(random)
                requested += 1
                if (exact.tryConsume(policy, charge, now)) {
                    admittedByExactCount += millis to charge
                } else {
                    refusedByExactCount += 1
                }
                if (entry.tryConsume(policy, charge, now)) admitted += millis to charge else refused += 1
            }
        }
        val worst = admitted.maxOf { (start, _) ->
            admitted.filter { it.first in start until start + 8_000 }.sumOf { it.second }
        }
        return Outcome(
            requested,
            refused,
            refusedByExactCount,
            worst,
            admittedInFirstSecond(admitted),
            reports.urgentReports,
            admittedInFirstSecond(admittedByExactCount),
        )
    }

    private fun admittedInFirstSecond(admitted: List<Pair<Int, Double>>): Double =
        admitted.filter { it.first in HOT_FROM_MILLIS until HOT_FROM_MILLIS + 1_000 }.sumOf { it.second }

    private fun charge(random: Random): Double =
        MEAN_TOKENS * exp(random.asJavaRandom().nextGaussian() * SPREAD - SPREAD * SPREAD / 2)

    /** Reports of the entries to each other in turn, as [PeerTable] sends them. */
    private class Reports(private val quotas: List<WorkspaceQuotas>, private val urgent: MutableSet<Int>) {
        private val sequences = LongArray(quotas.size)
        var urgentReports = 0
        private val names = quotas.indices.mapTo(HashSet()) { "entry-$it" }
        private var rounds = 0

        fun exchangeAt(millis: Int, now: MonotonicTime) {
            if (millis % URGENT_REPORT_INTERVAL_MILLIS == 0) reportUrgently(now)
            if (millis % REPORT_INTERVAL_MILLIS != 0) return
            val receivers = minOf(PeerTable.MAX_HEARTBEAT_TARGETS, quotas.size - 1)
            quotas.forEach { it.updateLiveEntries(names, names.size, now) }
            val reports = quotas.map { it.nextUsageReport(passesOn = true) }
            for (index in quotas.indices) {
                val report = ownReport(index, reports[index].requested)
                for (target in 0 until receivers) {
                    val offset = (rounds * receivers + target) % (quotas.size - 1)
                    val receiver = (index + 1 + offset) % quotas.size
                    quotas[receiver].recordPeerReport("entry-$receiver", report, reports[index].relayed, now)
                }
            }
            rounds += 1
        }

        private fun ownReport(index: Int, requested: Map<String, Double>): RelayedUsage {
            val admitted = quotas[index].admittedByWorkspace().mapKeys { it.key.value }
            return RelayedUsage("entry-$index", 1, sequences[index]++, admitted, requested)
        }

        /** Sends the reports that entries want to send to all peers at once, as `DataPlane` does. */
        private fun reportUrgently(now: MonotonicTime) {
            for (index in urgent) {
                val report = ownReport(index, quotas[index].requestedByWorkspace())
                urgentReports += 1
                for (receiver in quotas.indices) {
                    if (receiver !=
                        index
                    ) {
                        quotas[receiver].recordPeerReport("entry-$receiver", report, emptyList(), now)
                    }
                }
            }
            urgent.clear()
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
    fun `95 entries refuse hardly more than one exact count and exceed no quota`() = assertSharesWell(95)

    @Test
    fun `410 entries refuse hardly more than one exact count and exceed no quota`() = assertSharesWell(410)

    /** Guards against too little and too much where a workspace jumps to five to eight times its usual demand. */
    private fun assertFollowsJump(entries: Int) {
        for (rate in listOf(29_000.0, 96_000.0, 160_000.0)) {
            val policy = policy(rate)
            for (factor in listOf(5.0, 8.0)) {
                val jumps = (1..5).map { simulate(entries, policy, it, USUAL, USUAL * factor, JUMP_DURATION_MILLIS) }
                val admitted = jumps.sumOf { it.admittedInFirstSecond }
                val byExactCount = jumps.sumOf { it.admittedInFirstSecondByExactCount }
                val worst = jumps.maxOf { it.worstWindow }
                val bound = 9 * rate + tolerance.of(policy)
                val reportsPerSecond = jumps.sumOf { it.urgentReports } * 1_000 / jumps.size / JUMP_DURATION_MILLIS
                println(
                    "$entries entries, rate $rate, jump to $factor times the usual demand: " +
                        "${"%.3f".format(admitted / byExactCount)} of an exact count in the first second; " +
                        "worst window ${"%.3f".format(worst / bound)} of the bound; " +
                        "$reportsPerSecond reports at once per second",
                )
                assertTrue(
                    admitted >= LEAST_PART_OF_EXACT_COUNT * byExactCount,
                    "$entries entries, rate $rate: $admitted in the first second, $byExactCount by an exact count",
                )
                assertTrue(worst <= bound, "$entries entries, rate $rate: $worst tokens in 8 s, bound $bound")
            }
        }
    }

    @Test
    fun `70 entries give a workspace that jumps what its quota allows and exceed no quota`() = assertFollowsJump(70)

    @Test
    fun `95 entries give a workspace that jumps what its quota allows and exceed no quota`() = assertFollowsJump(95)

    @Test
    fun `410 entries give a workspace that jumps what its quota allows and exceed no quota`() = assertFollowsJump(410)

    private companion object {
        const val USUAL = 0.55
        const val LEAST_PART_OF_EXACT_COUNT = 0.95
        const val DURATION_MILLIS = 20_000
        const val JUMP_DURATION_MILLIS = 20_000
        const val HOT_FROM_MILLIS = 5_000
        const val REPORT_INTERVAL_MILLIS = 500

        /** Interval at which reports that are sent at once arrive, so that they take 80 ms on average. */
        const val URGENT_REPORT_INTERVAL_MILLIS = 160
        const val MEAN_TOKENS = 9_000.0
        const val SPREAD = 0.8
        const val CLUMP = 3
    }
}
