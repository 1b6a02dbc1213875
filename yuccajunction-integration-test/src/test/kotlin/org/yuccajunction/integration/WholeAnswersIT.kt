package org.yuccajunction.integration

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.yuccajunction.caller.CallerClient
import org.yuccajunction.caller.CallerResult
import org.yuccajunction.caller.CallerSettings
import org.yuccajunction.testing.ExpectedAnswer
import org.yuccajunction.testing.engine.ModelEngineFaults
import org.yuccajunction.testing.proxy.ProxyFaults
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Checks that every caller gets the complete answer to its request when engines or connections fail. */
class WholeAnswersIT {
    private val running = deployment {
        entries(2)
        entriesBehindProxy = true
        model("talker-llm", replicas = 3) { behindProxy = true }
    }
    private val caller = TestCaller(running.key)
    private val entry = running.entries[0]

    @AfterTest
    fun end() = running.close()

    @Test
    fun `a stream that hangs, ends early, breaks, repeats or crosses goes on whole`() {
        val faults = listOf(
            ModelEngineFaults(hangAfterTokens = 4, remaining = 1),
            ModelEngineFaults(truncateAfterTokens = 5, remaining = 1),
            ModelEngineFaults(breakAfterTokens = 6, remaining = 1),
            ModelEngineFaults(duplicateAtToken = 7, remaining = 1),
            ModelEngineFaults(crossedAtToken = 8, remaining = 1),
        )
        for ((number, fault) in faults.withIndex()) {
            running.models.forEach { it.setFaults(fault) }
            assertWhole("fault $number")
        }
    }

    @Test
    fun `a stream is complete when its engine connection is cut or receives nothing more after any number of bytes`() {
        val random = Random(SEED)
        repeat(12) { number ->
            val bytes = random.nextLong(0, 4_000)
            val fault =
                ProxyFaults(cutAfterBytesToClient = bytes, remainingCuts = 1, silentAfterCut = number % 3 == 0)
            running.models.forEach { checkNotNull(it.route).setFaults(fault) }
            assertWhole("cut $number after $bytes bytes")
        }
    }

    @Test
    fun `a stream is complete when its engine connections receive nothing more`() {
        val silencer = thread {
            repeat(3) {
                Thread.sleep(150)
                running.models.forEach { checkNotNull(it.route).silence() }
            }
        }
        assertWhole("silence", tokens = 60)
        silencer.join()
        assertWhole("after the silence")
    }

    @Test
    fun `a caller whose connection is cut at random bytes resumes at any entry`() = runBlocking {
        val random = Random(SEED)
        val seeds = running.entries.map { checkNotNull(it.callerRoute).endpoint }
        CallerClient(CallerSettings(seeds, running.key, idleTimeout = 3.seconds), random).use { client ->
            repeat(10) { number ->
                val fault = ProxyFaults(cutAfterBytesToClient = random.nextLong(500, 6_000), remainingCuts = 1)
                running.entries.forEach { checkNotNull(it.callerRoute).setFaults(fault) }
                val prompt = "Draft a talker for dates, number $number"
                val received = StringBuilder()
                val result = client.complete(body(prompt, tokens = 30)) { received.append(it) }
                val completed = assertIs<CallerResult.Completed>(result, "$number: $result")
                assertEquals(ExpectedAnswer.text(prompt, 30), completed.text)
                assertEquals(completed.text, received.toString())
            }
        }
    }

    private fun assertWhole(prompt: String, tokens: Int = 30) {
        val draft = caller.draft(entry.caller, DraftOrder(prompt, tokens))
        assertTrue(draft.isWhole, "$prompt: ${draft.status} ${draft.problem} ${draft.connectionError}")
        assertEquals(ExpectedAnswer.text(prompt, tokens), draft.events.content, prompt)
        assertEquals((0 until tokens).toList(), draft.events.offsets, prompt)
    }

    private fun body(prompt: String, tokens: Int) =
        buildJsonObject {
            put("model", "talker-llm")
            put("max_tokens", tokens)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", prompt)
                }
            }
        }

    private companion object {
        const val SEED = 11
    }
}
