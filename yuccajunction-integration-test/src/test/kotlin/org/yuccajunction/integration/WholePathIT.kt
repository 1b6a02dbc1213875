package org.yuccajunction.integration

import org.yuccajunction.testing.ExpectedAnswer
import org.yuccajunction.testing.application.ApplicationAnswer
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks a chat completion and an order from the caller through an entry to the backend server. */
class WholePathIT {
    private val running = deployment {
        entries(3)
        model("talker-llm", replicas = 2)
        application("order-desk")
    }
    private val caller = TestCaller(running.key)

    @AfterTest
    fun end() = running.close()

    @Test
    fun `every entry streams the complete answer and has an order executed once`() {
        for ((number, entry) in running.entries.withIndex()) {
            val prompt = "Draft a talker for oranges, number $number"
            val draft = caller.draft(entry.caller, DraftOrder(prompt, tokens = 20))
            assertEquals(200, draft.status, "${draft.problem}")
            assertEquals(ExpectedAnswer.text(prompt, 20), draft.events.content)
            assertEquals((0 until 20).toList(), draft.events.offsets)
            assertTrue(draft.events.isDone)

            val order = caller.call(entry.caller, "order-desk", "POST", "/jobs?number=$number", "{\"copies\":3}")
            assertEquals(200, order.status, order.body)
            assertEquals(
                ApplicationAnswer.to("POST", "/jobs?number=$number", "{\"copies\":3}".toByteArray()),
                harnessJson.decodeFromString(ApplicationAnswer.serializer(), order.body),
            )
            assertEquals(1, running.applications.sumOf { it.ledger().executionCount(checkNotNull(order.requestId)) })
        }
        val received = running.models("talker-llm").sumOf { it.ledger().rows.size }
        assertEquals(3, received)
    }

    @Test
    fun `a call with an unknown key is rejected and reported as not executed`() {
        val stranger = TestCaller("unknown-key")
        val draft = stranger.draft(running.entries[0].caller, DraftOrder("hello", tokens = 3))
        assertEquals(401, draft.status)
        assertTrue(draft.isNotRun)
        val order = stranger.call(running.entries[1].caller, "order-desk", "POST", "/jobs")
        assertEquals(401, order.status)
        assertTrue(order.isNotRun)
        assertEquals(0, running.applications.sumOf { it.ledger().received })
    }
}
