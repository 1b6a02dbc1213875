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

/** A refusal that says "not run" is true, at every stage of a dispatch, and comes at once. */
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
    fun `a cut at any byte of the request or the answer is never called not run once the order ran`() {
        val stages = listOf(0L, 1, 40, 120, 200, 260, 400).flatMap { bytes ->
            listOf(ProxyFaults(cutAfterBytesToTarget = bytes), ProxyFaults(cutAfterBytesToClient = bytes))
        }
        for (stage in stages) {
            checkNotNull(desk.route).setFaults(stage)
            val attempt = order()
            val id = checkNotNull(attempt.requestId) { "no identity: ${attempt.body}" }
            if (attempt.isNotRun) assertEquals(0, desk.ledger().runs(id), "$stage")
            assertTrue(desk.ledger().runs(id) <= 1, "$stage")
        }
    }

    @Test
    fun `a refusal by the application itself is passed on as not run, at once`() {
        desk.setFaults(ApplicationFaults(refuseNotRun = true))
        val (attempt, time) = measureTimedValue { order() }
        assertEquals(503, attempt.status)
        assertTrue(attempt.isNotRun)
        assertTrue(time < 2.seconds, "$time")
        assertEquals(0, desk.ledger().rows.size)
    }

    @Test
    fun `a server that can't be connected to makes a refusal that names another entry`() {
        desk.process.kill()
        checkNotNull(desk.route).setFaults(ProxyFaults())
        val (attempt, time) = measureTimedValue { order() }
        assertTrue(attempt.isNotRun || attempt.outcome == "unknown", attempt.body)
        assertTrue(time < 2.seconds, "$time")
    }

    @Test
    fun `an answer of another call is not passed on`() {
        desk.setFaults(ApplicationFaults(crossed = true))
        val attempt = order()
        assertEquals("unknown", attempt.outcome)
        assertFalse(attempt.isNotRun)
    }

    private fun order(): CallAttempt = caller.call(entry.caller, "order-desk", "POST", "/jobs", "talkers")
}
