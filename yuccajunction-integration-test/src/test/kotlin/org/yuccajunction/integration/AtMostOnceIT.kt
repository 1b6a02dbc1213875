package org.yuccajunction.integration

import org.yuccajunction.testing.application.ApplicationFaults
import org.yuccajunction.testing.platform.PlatformFaults
import org.yuccajunction.testing.proxy.ProxyFaults
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that no application executes an order twice when the home entry, its connections or the object API fail.
 *
 * The home of an order is the entry whose identity prefix starts the request identity. Only the home sends the order to
 * an application.
 */
class AtMostOnceIT {
    private val running = deployment {
        entries(3)
        entriesBehindProxy = true
        shutdownNoticeSeconds = 6
        addressAnswerSeconds = 1
        application("order-desk", replicas = 2) { behindProxy = true }
    }
    private val caller = TestCaller(running.key)
    private val home = running.entries[0]
    private val others = running.entries.drop(1)

    @AfterTest
    fun end() = running.close()

    @Test
    fun `an order whose answer is lost is executed once and reported as unknown`() {
        running.applications.forEach { it.setFaults(ApplicationFaults(loseAnswer = true)) }
        val id = id(home, "lost")
        val attempts = (running.entries + running.entries).map { order(it, id) }
        assertEquals(setOf("unknown"), attempts.map { it.outcome }.toSet())
        assertEquals(1, executions(id))
    }

    @Test
    fun `a repeated order gets the first answer at every entry`() {
        val id = id(home, "kept")
        val bodies = (running.entries + running.entries).map { order(it, id).body }
        assertEquals(1, bodies.toSet().size, "$bodies")
        assertEquals(1, executions(id))
    }

    @Test
    fun `a frozen home executes the order once and answers after it resumes`() {
        running.applications.forEach { it.setFaults(ApplicationFaults(delayMillis = 500)) }
        val id = id(home, "frozen")
        val first = thread { order(home, id) }
        eventually(5.seconds, { "no order arrived" }) { receivedOrders() == 1 }
        home.process.freeze()
        val meanwhile = others.map { order(it, id) }
        assertTrue(meanwhile.none { it.isNotRun }, "reported as not executed although the home may execute the order")
        home.process.resume()
        first.join()
        eventually(10.seconds, { "no answer after the home resumed" }) { order(others[0], id).status == 200 }
        assertEquals(1, executions(id))
    }

    @Test
    fun `repeated orders are reported as unknown after their home was killed`() {
        running.applications.forEach { it.setFaults(ApplicationFaults(delayMillis = 500)) }
        val id = id(home, "dead")
        val first = thread { order(home, id) }
        eventually(5.seconds, { "no order arrived" }) { receivedOrders() == 1 }
        home.process.kill()
        first.join()
        val retries = (others + others).map { order(it, id) }
        assertEquals(setOf("unknown"), retries.map { it.outcome }.toSet())
        assertTrue(executions(id) <= 1)
    }

    @Test
    fun `a home cut off from its peers executes an order only for callers that reach it`() {
        checkNotNull(home.peerRoute).partition()
        val id = id(home, "partitioned")
        val elsewhere = others.map { order(it, id) }
        assertEquals(setOf("unknown"), elsewhere.map { it.outcome }.toSet())
        assertEquals(0, executions(id))
        assertEquals(200, order(home, id).status)
        assertTrue(others.map { order(it, id) }.none { it.isNotRun })
        assertEquals(1, executions(id))
    }

    @Test
    fun `after the home shut down a successor returns its answer and rejects a new order with its identity`() {
        val ran = id(home, "ran")
        val answer = order(home, ran).body
        val young = id(home, "young")
        home.process.terminate()
        assertTrue(home.process.awaitEnd(15.seconds), "${home.process.lines.takeLast(20)}")
        eventually(5.seconds, { "not every other entry returned the home's answer" }) {
            others.all { order(it, ran).body == answer }
        }
        val refused = others.map { order(it, young) }
        assertTrue(refused.all { it.isNotRun }, "${refused.map { it.body }}")
        assertEquals(listOf(1, 0), listOf(executions(ran), executions(young)))
    }

    @Test
    fun `an order with an idempotency key is executed once when the store loses an answer and never when it is down`() {
        running.platform.setFaults(PlatformFaults(loseWriteAnswers = 1))
        val attempts = running.entries.map { orderWithIdempotencyKey(it, "key-1") }
        assertTrue(attempts.any { it.status == 200 }, "${attempts.map { it.body }}")
        assertEquals(1, totalExecutions())
        running.platform.setFaults(PlatformFaults(objectsUnavailable = true))
        val refused = running.entries.map { orderWithIdempotencyKey(it, "key-2") }
        assertTrue(refused.all { it.isNotRun }, "${refused.map { it.body }}")
        assertEquals(1, totalExecutions())
    }

    @Test
    fun `an order is executed at most once, and never if rejected, when connections are cut at random bytes`() {
        val random = Random(SEED)
        val notRun = mutableListOf<String>()
        val ids = List(ORDERS) { id(running.entries.random(random), "cut-$it") }
        for (id in ids) {
            running.applications.forEach { checkNotNull(it.route).setFaults(cut(random)) }
            repeat(3) {
                val attempt = order(running.entries.random(random), id)
                if (attempt.isNotRun) assertEquals(0, executions(id), "order $id was executed: ${attempt.body}")
                if (attempt.isNotRun) notRun += id
            }
        }
        assertTrue(ids.all { executions(it) <= 1 })
        println("$ORDERS orders, ${ids.count { executions(it) == 1 }} run, ${notRun.size} refusals")
    }

    private fun cut(random: Random): ProxyFaults {
        val toTarget = random.nextLong(0, 400).takeIf { random.nextInt(3) == 0 }
        val toClient = random.nextLong(0, 300).takeIf { random.nextInt(3) == 0 }
        return ProxyFaults(
            cutAfterBytesToTarget = toTarget,
            cutAfterBytesToClient = toClient,
            cutByReset = random.nextBoolean(),
            refuseNew = random.nextInt(6) == 0,
        )
    }

    private fun id(home: EntryHandle, suffix: String): String {
        val prefix = poll(5.seconds, { "${home.id} reports no own identity prefix" }) { home.identityPrefix() }
        return "$prefix~$suffix"
    }

    private fun order(entry: EntryHandle, id: String): CallAttempt =
        caller.call(entry.caller, "order-desk", "POST", "/jobs", "talkers", mapOf("Yucca-Request-Id" to id))

    private fun orderWithIdempotencyKey(entry: EntryHandle, key: String): CallAttempt =
        caller.call(entry.caller, "order-desk", "POST", "/jobs", "talkers", mapOf("Idempotency-Key" to key))

    private fun executions(id: String): Int = running.applications.sumOf { it.ledger().executionCount(id) }

    private fun receivedOrders(): Int = running.applications.sumOf { it.ledger().received }

    private fun totalExecutions(): Int = running.applications.sumOf { it.ledger().rows.size }

    private companion object {
        const val SEED = 7
        const val ORDERS = 60
    }
}
