package org.yuccajunction.shortage

import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Drives one decision object with given load reports and reports of peers under a manual clock. */
class ShortageAdmissionTest {
    private val service = ServiceName("service")
    private val random = Random(1)
    private var now = MonotonicTime.ZERO
    private var occupancy: ServiceOccupancy? = ServiceOccupancy(60.0, 0.0, 100.0)
    private var urgentReports = 0
    private val statuses = ArrayList<ShortageStatus>()
    private val admission =
        ShortageAdmission(now, random, { _, _ -> occupancy }, { urgentReports += 1 }, { statuses += it })

    private fun request(workspace: String = "a", rank: Int = 1, work: Double = 500.0) =
        ShortageRequest(
            service,
            WorkspaceId(workspace),
            rank,
            work,
            random.nextLong(),
            300.milliseconds,
            remaining = 9.seconds,
        )

    /** Sends [perSecond] requests a second for [duration]; returns how many of how many were rejected. */
    private fun send(
        duration: Duration,
        perSecond: Int,
        workspace: String = "a",
        rank: Int = 1,
        isCompleted: Boolean = true,
    ): List<AdmissionDecision> {
        val until = now + duration
        val decisions = ArrayList<AdmissionDecision>()
        while (now < until) {
            now += (1.seconds / perSecond)
            decisions += admission.decide(request(workspace, rank), now)
            if (isCompleted) admission.recordCompletion(service, 500.0, now)
            admission.tick(now)
        }
        return decisions
    }

    private fun rejected(decisions: List<AdmissionDecision>) =
        decisions.count { it is AdmissionDecision.Reject } / decisions.size.toDouble()

    private fun report(rows: List<DemandRow>, offered: Int = rows.sumOf { it.offered.sum() }) =
        DemandReport(service.value, offered, 5_000, 100, rows = rows)

    private fun row(workspace: String, vararg offered: Int) =
        DemandRow(WorkspaceHash.of(WorkspaceId(workspace)), offered.toList())

    @Test
    fun `a service whose servers report no pace is served as before`() {
        occupancy = null
        assertEquals(0.0, rejected(send(5.seconds, perSecond = 1_000, isCompleted = false)))
        assertEquals(emptyList(), admission.report(now))
    }

    @Test
    fun `nothing is rejected while a tenth of the slots is free`() {
        occupancy = ServiceOccupancy(90.0, 0.0, 100.0)
        assertEquals(0.0, rejected(send(5.seconds, perSecond = 20)))
        assertEquals(0.0, rejected(send(1.seconds, perSecond = 200)))
    }

    @Test
    fun `requests are rejected while many wait, the least urgent first`() {
        send(5.seconds, perSecond = 20)
        occupancy = ServiceOccupancy(100.0, 50.0, 100.0)
        val decisions = (1..100).map {
            send(20.milliseconds, 50, rank = 0).single() to send(20.milliseconds, 50, rank = 2).single()
        }
        val urgent = rejected(decisions.drop(20).map { it.first })
        val other = rejected(decisions.drop(20).map { it.second })
        assertTrue(other > 0.6 && urgent < other - 0.3, "$urgent of the urgent, $other of the others")
    }

    /** Guards against a level that outlives what it is based on. */
    @Test
    fun `a level by load reports of ten seconds ago admits everything`() {
        send(5.seconds, perSecond = 20)
        occupancy = ServiceOccupancy(100.0, 50.0, 100.0)
        assertTrue(rejected(send(2.seconds, perSecond = 20)) > 0.2)
        occupancy = ServiceOccupancy(100.0, 50.0, 100.0, ageMillis = 10_000)
        now += 10.seconds
        assertEquals(0.0, rejected(send(1.seconds, perSecond = 20)))
    }

    /** Guards against an entry that rejects by what peers reported before they were cut off. */
    @Test
    fun `reports of peers count no more after ten seconds`() {
        admission.recordPeer("peer", listOf(report(listOf(row("a", 0, 90_000)))), now)
        now += 10.seconds
        assertEquals(0.0, rejected(send(2.seconds, perSecond = 20)))
    }

    /** Guards against one entry with a wrong view of the demand that makes the others reject. */
    @Test
    fun `one peer of twenty that reports ten times the demand changes little`() {
        send(5.seconds, perSecond = 20)
        occupancy = ServiceOccupancy(96.0, 0.0, 100.0)
        for (peer in 1..20) {
            val work = if (peer == 1) 100_000 else 9_500
            admission.recordPeer("peer-$peer", listOf(report(listOf(row("a", 0, work)))), now)
        }
        val rejected = rejected(send(400.milliseconds, perSecond = 100))
        assertTrue(rejected < 0.5, "$rejected rejected")
    }

    /** Guards against an entry that has just started and admits everything, or nothing. */
    @Test
    fun `an entry that has just started rejects as its peers do`() {
        send(1.seconds, perSecond = 20)
        val peers = report(listOf(row("a", 500, 1_500), row("hot", 2_000, 20_000)))
        repeat(30) { admission.recordPeer("peer-$it", listOf(peers), now) }
        occupancy = ServiceOccupancy(100.0, 3.0, 100.0)
        now += 60.milliseconds
        val own = (1..200).map { admission.decide(request("a", 1), now) }
        val hot = (1..200).map { admission.decide(request("hot", 1), now) }
        assertTrue(rejected(hot) > 0.3 && rejected(own) < 0.05, "${rejected(own)} and ${rejected(hot)} of the hot one")
    }

    /** Guards against a bias against large prompts and rare workspaces. */
    @Test
    fun `a large request and one of a rare workspace are rejected no more often than others`() {
        send(1.seconds, perSecond = 20)
        val peers = report(listOf(row("a", 0, 2_000), row("hot", 0, 25_000)))
        repeat(30) { admission.recordPeer("peer-$it", listOf(peers), now) }
        occupancy = ServiceOccupancy(100.0, 3.0, 100.0)
        now += 60.milliseconds
        val rare = (1..200).map { admission.decide(request("rare-$it"), now) }
        val small = (1..400).map { admission.decide(request("hot", work = 50.0), now) }
        val large = (1..400).map { admission.decide(request("hot", work = 20_000.0), now) }
        assertEquals(0.0, rejected(rare))
        assertTrue(rejected(large) <= rejected(small) + 0.1, "${rejected(small)} small, ${rejected(large)} large")
    }

    @Test
    fun `a rejection names a time within a third of what the caller has left, later for the less urgent`() {
        send(5.seconds, perSecond = 20)
        occupancy = ServiceOccupancy(100.0, 80.0, 100.0)
        val demand = DemandRow(WorkspaceHash.of(WorkspaceId("a")), listOf(30_000, 0, 30_000), listOf(3_000, 0, 12_000))
        val peers = DemandReport(service.value, 60_000, 10_000, 1_200, rows = listOf(demand))
        repeat(30) { admission.recordPeer("peer-$it", listOf(peers), now) }
        now += 60.milliseconds
        val urgent = rejections(rank = 0).map { it.retryAfter }
        val other = rejections(rank = 2).map { it.retryAfter }
        assertTrue((urgent + other).all { it in 100.milliseconds..3.seconds })
        assertTrue(urgent.min() < urgent.max(), "the times are spread")
        assertTrue(
            urgent.sumOf {
                it.inWholeMilliseconds
            } / urgent.size <= other.sumOf { it.inWholeMilliseconds } / other.size,
        )
    }

    private fun rejections(rank: Int): List<AdmissionDecision.Reject> =
        (1..300).map { admission.decide(request(rank = rank), now) }.filterIsInstance<AdmissionDecision.Reject>()

    @Test
    fun `rejections are told once a second and peers hear at most twice a second`() {
        send(5.seconds, perSecond = 20)
        assertEquals(0, urgentReports)
        occupancy = ServiceOccupancy(100.0, 50.0, 100.0)
        send(3.seconds, perSecond = 50)
        assertTrue(statuses.size in 2..4, "${statuses.size} lines")
        assertTrue(urgentReports in 4..7, "$urgentReports reports")
        assertIs<Map<Int, Int>>(statuses.first().rejected)
    }

    @Test
    fun `a report holds at most 64 workspaces`() {
        val requests = (1..300).map { request("workspace-$it") }
        requests.forEach { admission.decide(it, now) }
        assertEquals(64, admission.report(now).sumOf { it.rows.size })
    }

    @Test
    fun `workspaces share by their quotas`() {
        val weights = WorkspaceWeights(
            listOf(
                WorkspacePolicy(WorkspaceId("a"), countsTokens = true, ratePerSecond = 30_000.0),
                WorkspacePolicy(WorkspaceId("b"), countsTokens = true, ratePerSecond = 10_000.0),
                WorkspacePolicy(WorkspaceId("c"), ratePerSecond = 5.0),
            ),
        )
        assertEquals(
            listOf(1.5, 0.5, 1.0, 1.0),
            listOf("a", "b", "c", "d").map { weights.of(WorkspaceHash.of(WorkspaceId(it))) },
        )
        val shares = FairShares.fill(mapOf(1 to 10.0, 2 to 2.0, 3 to 30.0), { if (it == 3) 2.0 else 1.0 }, 20.0)
        assertEquals(mapOf(1 to 6.0, 2 to 2.0, 3 to 12.0), shares)
    }
}
