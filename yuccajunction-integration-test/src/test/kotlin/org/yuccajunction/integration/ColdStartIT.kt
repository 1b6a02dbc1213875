package org.yuccajunction.integration

import org.yuccajunction.testing.engine.ModelEngineSettings
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that a backend server in cold start gets no more open requests than its limit for cold servers.
 *
 * A new backend server never exceeds the limit. A backend server that returns to cold start stays within the limit from
 * [DETECTION_BOUND_MILLIS] after that on, since the entries need this time to notice.
 */
class ColdStartIT {
    private val running =
        deployment {
            entries(3)
            model("talker-llm", replicas = 2) {
                requestLimit = 12
                coldRequestLimit = COLD_LIMIT
            }
        }

    @AfterTest
    fun end() = running.close()

    @Test
    fun `a new server stays within its cold request limit while entries start and die`() {
        val cold =
            ModelPlan("talker-llm").apply {
                settings = ModelEngineSettings(coldMillis = 20_000, coldRequestLimit = COLD_LIMIT)
            }
        BackgroundLoad(running, callers = 16).use { load ->
            val added = running.addModel(cold)
            load.continueFor(3_000)
            running.addEntry()
            load.continueFor(6_000)
            running.entries.first().process.kill()
            load.continueFor(8_000)
            val counts = added.ledger().load
            assertTrue(counts.highestOpenCold <= COLD_LIMIT, "$counts")
            assertEquals(0, counts.fellOver, "$counts")
            eventually(20.seconds, { "${added.ledger().load}" }) { added.ledger().load.highestOpen > COLD_LIMIT }
        }
    }

    @Test
    fun `a server that returns to cold start stays within its cold request limit a few seconds later`() {
        val server = running.models.first()
        BackgroundLoad(running, callers = 16).use { load ->
            eventually(20.seconds, { "${server.ledger().load}" }) { server.ledger().load.highestOpen > COLD_LIMIT }
            server.turnCold(millis = 30_000, reported = true, newIncarnation = true)
            load.continueFor(DETECTION_BOUND_MILLIS)
            val before = server.ledger()
            server.turnCold(millis = 10_000, reported = true)
            load.continueFor(9_000)
            val after = server.ledger()
            assertTrue(after.load.highestOpenCold <= COLD_LIMIT, "${after.load}")
            assertEquals(before.load.fellOver, after.load.fellOver)
            assertTrue(after.rows.size > before.rows.size, "the cold server received no request")
        }
    }

    private companion object {
        const val COLD_LIMIT = 1
        const val DETECTION_BOUND_MILLIS = 4_000L
    }
}
