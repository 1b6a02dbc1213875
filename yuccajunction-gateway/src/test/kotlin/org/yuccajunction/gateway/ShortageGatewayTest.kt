package org.yuccajunction.gateway

import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.routing.RendezvousHash
import org.yuccajunction.shortage.DemandReport
import org.yuccajunction.shortage.DemandRow
import org.yuccajunction.shortage.OccupancyReport
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.DurationUnit
import kotlin.time.measureTimedValue

/** Runs the data plane of one entry whose peers report more demand than the service has capacity. */
class ShortageGatewayTest {
    private val workspace = RendezvousHash.hash("workspace").toInt() and Int.MAX_VALUE

    private fun server(load: String) =
        ScriptedServer { request, connection ->
            connection.send(
                "HTTP/1.1 200 OK\r\nid: ${requestId(request)}\r\nsignature: s\r\nload: $load\r\n" +
                    "content-length: 2\r\n\r\nok",
            )
        }

    /** Lets thirty peers report full servers and a demand of [offered] where they complete 1,000. */
    private fun reportShortage(fixture: GatewayFixture, sequence: Long, offered: Int) {
        val row = DemandRow(workspace, listOf(offered))
        val demand = DemandReport("service", offered, 1_000, 100, OccupancyReport(800, 200, 800), listOf(row))
        val heartbeats = List(30) {
            EntryHeartbeat("peer-$it", 1, sequence, "", "", "zone", isReady = true, demand = listOf(demand))
        }
        val live = heartbeats.mapTo(HashSet()) { it.name } + "entry"
        fixture.onLoop { fixture.dataPlane.peerReports.accept(heartbeats, live, live.size) }
    }

    /** Returns the answers to [count] requests, each after its time in milliseconds. */
    private fun answers(fixture: GatewayFixture, count: Int): List<Pair<Double, String>> =
        List(count) {
            if (it % 20 == 0) reportShortage(fixture, sequence = it + 1L, offered = 50_000)
            val (answer, taken) = measureTimedValue { requestOnce(fixture, "request-$it") }
            taken.toDouble(DurationUnit.MILLISECONDS) to answer
        }

    private fun requestOnce(fixture: GatewayFixture, id: String): String =
        fixture.connect().use { connection ->
            connection.send(GatewayFixture.request("/safe/", id = id))
            GatewayFixture.readAll(connection)
        }

    /** Guards against rejected requests that reach a server all the same, and against rejections that come late. */
    @Test
    fun `requests are rejected at once while peers report more demand than capacity`() {
        val server = server("1,0,8,100")
        GatewayFixture(server).use { fixture ->
            repeat(20) { requestOnce(fixture, "usual-$it") }
            val answers = answers(fixture, 200)
            val rejected = answers.filter { "capacity-short" in it.second }
            val late = rejected.count { it.first > GatewayFixture.TIME_LIMIT.inWholeMilliseconds / 8 }
            println(
                "${rejected.size} of 200 rejected, $late later than an eighth of the target, median " +
                    "%.1f ms".format(rejected.map { it.first }.sorted()[rejected.size / 2]),
            )
            assertTrue(rejected.size > 100, "${rejected.size} rejected")
            assertTrue(late <= rejected.size / 100, "$late late rejections")
            assertContains(rejected.first().second, "503")
            assertContains(rejected.first().second.lowercase(), "retry-after: ")
            assertEquals(220 - rejected.size, server.requests.size, "requests that reached the server")
            assertContains(fixture.dataPlane.metrics.scrape(), "yuccajunction_forward_rejected")
        }
        server.close()
    }

    /** Guards against a change for services that do not call for it. */
    @Test
    fun `nothing is rejected for a service whose servers report no pace`() {
        val server = server("8,4,8")
        GatewayFixture(server).use { fixture ->
            val answers = answers(fixture, 40)
            assertFalse(answers.any { "capacity-short" in it.second })
        }
        server.close()
    }
}
