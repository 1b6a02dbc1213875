package org.yuccajunction.integration

import org.yuccajunction.testing.application.ApplicationFaults
import org.yuccajunction.testing.proxy.ProxyFaults
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Checks that an entry reports an order as not executed only if that is true, and without waiting. */
class TrueRefusalsIT {
    private val running = deployment {
        entries(2)
        application("order-desk") { behindProxy = true }
    }
    private val caller = TestCaller(running.key)
    private val entry = running.entries[0]
    private val desk = running.applications.single()

    @AfterTest
    fun end() = running.close()

    @Test
    fun `an executed order is never reported as not executed when its connection is cut at any byte`() {
        val stages = listOf(0L, 1, 40, 120, 200, 260, 400).flatMap { bytes ->
            listOf(ProxyFaults(cutAfterBytesToTarget = bytes), ProxyFaults(cutAfterBytesToClient = bytes))
        }
        for (stage in stages) {
            checkNotNull(desk.route).setFaults(stage)
            val attempt = order()
            val id = checkNotNull(attempt.requestId) { "response without Yucca-Request-Id: ${attempt.body}" }
            if (attempt.isNotRun) assertEquals(0, desk.ledger().executionCount(id), "$stage")
            assertTrue(desk.ledger().executionCount(id) <= 1, "$stage")
        }
    }

    @Test
    fun `a rejection by the application is reported as not executed within 2 seconds`() {
        desk.setFaults(ApplicationFaults(refuseNotRun = true))
        val (attempt, time) = measureTimedValue { order() }
        assertEquals(503, attempt.status)
        assertTrue(attempt.isNotRun)
        assertTrue(time < 2.seconds, "$time")
        assertEquals(0, desk.ledger().rows.size)
    }

    @Test
    fun `an order for a server that refuses connections is reported as not executed or unknown within 2 seconds`() {
        desk.process.kill()
        checkNotNull(desk.route).setFaults(ProxyFaults())
        val (attempt, time) = measureTimedValue { order() }
        assertTrue(attempt.isNotRun || attempt.outcome == "unknown", attempt.body)
        assertTrue(time < 2.seconds, "$time")
    }

    @Test
    fun `an answer that belongs to another call is reported as unknown`() {
        desk.setFaults(ApplicationFaults(crossed = true))
        val attempt = order()
        assertEquals("unknown", attempt.outcome)
        assertFalse(attempt.isNotRun)
    }

    private fun order(): CallAttempt = caller.call(entry.caller, "order-desk", "POST", "/jobs", "talkers")
}
