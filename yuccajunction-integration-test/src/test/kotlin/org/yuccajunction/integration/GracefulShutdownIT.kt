package org.yuccajunction.integration

import org.yuccajunction.model.Endpoint
import org.yuccajunction.testing.ExpectedAnswer
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Checks that no request is lost when the platform takes back an entry or a backend server with notice. */
class GracefulShutdownIT {
    private val running = deployment {
        entries(3)
        shutdownNoticeSeconds = 8
        addressAnswerSeconds = 1
        model("talker-llm", replicas = 3) {
            requestLimit = 32
            settings = settings.copy(tokenMillis = 20.0)
        }
        application("order-desk", replicas = 2)
    }
    private val caller = TestCaller(running.key)
    private val threads = Executors.newFixedThreadPool(24)

    @AfterTest
    fun end() {
        threads.shutdownNow()
        running.close()
    }

    @Test
    fun `an entry that is terminated under load completes or moves every stream and accepts orders until then`() {
        val leaving = running.entries[0]
        val streams = List(8) { number ->
            threads.submit(
                Callable { wholeDraft(leaving, number, tokens = 40 + 60 * number) },
            )
        }
        eventually(5.seconds, { "not every stream reached an engine; ended: ${endedEarly(streams)}" }) {
            running.models.sumOf { it.ledger().rows.size } >= 8
        }
        val keepMillis = leaving.keepSeconds() * 1_000
        leaving.process.terminate()
        val until = System.currentTimeMillis() + keepMillis
        var kept = 0
        while (System.currentTimeMillis() < until) {
            val order = caller.call(leaving.caller, "order-desk", "POST", "/jobs?number=$kept", "talkers")
            assertEquals(200, order.status, "order $kept: ${order.body}")
            kept += 1
        }
        assertTrue(streams.sumOf { it.get() } >= 1, "no stream was moved to another entry")
        assertTrue(leaving.process.awaitEnd(15.seconds), "${leaving.process.lines.takeLast(20)}")
        assertTrue(kept > 0)
    }

    @Test
    fun `every stream is complete when a backend server and an entry are reclaimed at the same time`() {
        val leaving = running.entries[1]
        val streams = List(6) { number -> threads.submit(Callable { wholeDraft(leaving, number, tokens = 150) }) }
        eventually(5.seconds, { "not every stream reached an engine" }) {
            running.models.sumOf { it.ledger().rows.size } >= 6
        }
        val server = running.models.maxBy { it.ledger().rows.size }
        running.platform.announceReclaim(server.id, remainingMillis = 3_000)
        running.platform.markLeaving(server.id)
        leaving.process.terminate()
        Thread.sleep(3_000)
        server.process.kill()
        streams.forEach { it.get() }
    }

    /** Returns the results of those [streams] that have ended, each a count of moves or a failure. */
    private fun endedEarly(streams: List<Future<Int>>): List<String> =
        streams.filter { it.isDone }.map { stream -> runCatching { stream.get() }.toString() }

    /** Reads one stream to its end, following each move to another entry, and returns the number of moves. */
    private fun wholeDraft(entry: EntryHandle, number: Int, tokens: Int): Int {
        val order = DraftOrder("Draft a talker for figs, number $number", tokens)
        var at: Endpoint = entry.caller
        var content = ""
        var lastEventId: String? = null
        repeat(4) { moves ->
            val attempt = caller.draft(at, order, lastEventId = lastEventId)
            assertEquals(200, attempt.status, "stream $number: ${attempt.problem} ${attempt.connectionError}")
            assertEquals(null, attempt.connectionError, "stream $number was cut off")
            content += attempt.events.content
            lastEventId = attempt.events.lastEventId ?: lastEventId
            if (attempt.events.isDone) {
                assertEquals(ExpectedAnswer.text(order.prompt, tokens), content, "stream $number")
                return moves
            }
            at = checkNotNull(attempt.events.movedTo?.let(Endpoint::parse)) {
                "stream $number ended without [DONE] or a move: ${attempt.problem}"
            }
        }
        error("stream $number did not end within 4 attempts")
    }
}
