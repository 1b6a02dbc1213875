package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionQueueTest {
    private val queue = AdmissionQueue<String>(RetrySchedule(Random(1)))

    private fun at(millis: Int) = MonotonicTime.ZERO + millis.milliseconds

    private fun hold(
        name: String,
        readAt: Int,
        rank: Int = 0,
        age: Duration = Duration.ZERO,
        limit: Duration = 3.seconds,
    ) {
        val arrivedAt = at(readAt) - age
        queue.add(HeldRequest(name, arrivedAt, at(readAt), arrivedAt + limit, 320.milliseconds, rank))
    }

    /** Takes all steps of a turn, each of which takes [cost]. */
    private fun turn(at: Int, delay: Int, cost: Int = 0): List<String> {
        queue.beginTurn(at(at), delay.milliseconds)
        var now = at
        return generateSequence { queue.next(at(now)).also { now += cost } }.map(::describe).toList()
    }

    private fun describe(step: AdmissionStep<String>): String =
        when (step) {
            is AdmissionStep.Admit -> step.request.value
            is AdmissionStep.Reject -> "${step.request.value}: ${step.cause.code}"
        }

    /** Guards against an entry that rejects or holds requests though its event loop is on time. */
    @Test
    fun `all requests are admitted in one turn while the loop is on time`() {
        repeat(30) { hold("$it", readAt = 0) }
        assertEquals((29 downTo 0).map { "$it" }, turn(at = 1, delay = 1))
        assertTrue(queue.isEmpty)
    }

    /** Guards against old requests that take the time in which newer ones could still be answered. */
    @Test
    fun `a late loop admits by urgency, then newest first`() {
        hold("old", readAt = 0, rank = 1)
        hold("new", readAt = 5, rank = 1)
        hold("urgent", readAt = 3, rank = 0)
        assertEquals(listOf("urgent", "new", "old"), turn(at = 100, delay = 100))
    }

    /** Guards against requests sent to servers after their callers have given up. */
    @Test
    fun `a request whose deadline has passed in the socket is rejected first`() {
        hold("fresh", readAt = 500)
        hold("expired", readAt = 500, age = 400.milliseconds, limit = 410.milliseconds)
        assertEquals(listOf("expired: deadline-passed", "fresh"), turn(at = 500, delay = 400))
    }

    /** Guards against a backlog that is served in order, so that every answer comes too late. */
    @Test
    fun `requests that are too old for their target are rejected once the loop has been late for two turns`() {
        hold("first", readAt = 0, age = 300.milliseconds)
        assertEquals(listOf("first"), turn(at = 0, delay = 300))
        hold("second", readAt = 200, age = 300.milliseconds)
        hold("third", readAt = 200, age = 100.milliseconds)
        assertEquals(listOf("second: too-old", "third"), turn(at = 200, delay = 300))
    }

    /** Guards against a rejection of what was read after one pause of the process, as for garbage collection. */
    @Test
    fun `a single pause rejects nothing`() {
        turn(at = 0, delay = 0)
        hold("a", readAt = 400, age = 400.milliseconds)
        assertEquals(listOf("a"), turn(at = 400, delay = 400))
        hold("b", readAt = 2_000, age = 400.milliseconds)
        assertEquals(listOf("b"), turn(at = 2_000, delay = 400))
    }

    /** Guards against a turn that admits a whole backlog while answers of open requests wait in their sockets. */
    @Test
    fun `a turn admits for a limited time, and what is then held for too long is rejected`() {
        repeat(10) { hold("$it", readAt = it) }
        assertEquals(listOf("9", "8"), turn(at = 10, delay = 100, cost = 8))
        val later = turn(at = 60, delay = 100, cost = 8)
        assertEquals(listOf("7", "6"), later.take(2))
        assertEquals((0..5).map { "$it: crowded-out" }.toSet(), later.drop(2).toSet())
    }

    /** Guards against a backlog without bound in the entry's memory. */
    @Test
    fun `of more than a thousand requests the oldest are rejected`() {
        repeat(1_003) { hold("$it", readAt = it) }
        assertEquals(setOf("0: queue-full", "1: queue-full", "2: queue-full"), turn(1_003, delay = 0).take(3).toSet())
    }

    /** Guards against requests of callers that have disconnected while the requests were held. */
    @Test
    fun `requests of callers that have left are forgotten`() {
        hold("left", readAt = 0)
        queue.retain { it != "left" }
        assertTrue(queue.isEmpty)
        queue.beginTurn(at(1), Duration.ZERO)
        assertNull(queue.next(at(1)))
    }

    /** Guards against callers that all come back at once, and after the time for which they would wait. */
    @Test
    fun `retries are spread at the rate of admissions, within a third of the time left`() {
        val schedule = RetrySchedule(Random(1))
        repeat(100) { schedule.recordAdmission(at(1_000)) }
        val waits = List(50) { schedule.retryAfter(at(1_000), 3.seconds) }
        assertTrue(waits.max() <= 1.seconds, "longest wait ${waits.max()}")
        assertTrue(waits.take(10).max() < 150.milliseconds, "first waits ${waits.take(10)}")
        assertTrue(waits.drop(40).min() > 200.milliseconds, "last waits ${waits.drop(40)}")
        assertIs<Duration>(schedule.retryAfter(at(1_000), (-1).seconds))
    }
}
