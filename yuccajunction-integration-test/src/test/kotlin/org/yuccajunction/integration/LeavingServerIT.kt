package org.yuccajunction.integration

import org.yuccajunction.testing.platform.PlatformFaults
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Checks that a draining backend server gets no request later than [BOUND_MILLIS] after the announcement. */
class LeavingServerIT {
    private val running =
        deployment {
            entries(3)
            model("talker-llm", replicas = 3)
        }

    @AfterTest
    fun end() = running.close()

    @Test
    fun `a server with a reclaim notice gets no new requests although the instance list is 30 seconds old`() {
        running.platform.setFaults(PlatformFaults(instanceListLagMillis = 30_000))
        assertNothingNewAfter { running.platform.announceReclaim(it, 60_000) }
    }

    @Test
    fun `a server that the instance list marks as leaving gets no new requests`() {
        assertNothingNewAfter { running.platform.markLeaving(it) }
    }

    private fun assertNothingNewAfter(announce: (String) -> Unit) {
        val server = running.models.first()
        BackgroundLoad(running, callers = 9).use { load ->
            eventually(20.seconds, { "${server.ledger().load}" }) { server.ledger().rows.size > 5 }
            announce(server.id)
            val announcedAt = System.currentTimeMillis()
            load.continueFor(12_000)
            val late = server.ledger().rows.filter { it.receivedAtMillis > announcedAt + BOUND_MILLIS }
            assertEquals(emptyList(), late.map { it.receivedAtMillis - announcedAt }, "ms after the announcement")
            assertTrue(load.attempts.count { it.isWhole } > 0)
        }
    }

    private companion object {
        const val BOUND_MILLIS = 4_000L
    }
}
