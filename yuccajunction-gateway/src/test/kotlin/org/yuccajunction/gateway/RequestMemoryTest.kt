package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.yuccajunction.gateway.GatewayFixture.Companion.readAll
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Bodies of many callers at once, which together exceed the memory that the entry has for them. */
@Timeout(60, unit = TimeUnit.SECONDS)
class RequestMemoryTest {
    private val large = "l".repeat(LARGE_BYTES)

    private fun withMemory(bytes: Long, test: (GatewayFixture) -> Unit) =
        ScriptedServer { request, connection -> connection.send(answer(request, "own answer")) }.use { server ->
            val memory = RequestMemory(bytes)
            GatewayFixture(server, timeLimit = 5.seconds, maxBodyBytes = LARGE_BYTES, requestMemory = memory).use(test)
        }

    @Test
    fun `small bodies find room beside large ones`() {
        val memory = RequestMemory(maxBytes = 400_000)
        assertTrue(memory.tryTake(300_000, bodyBytes = 300_000))
        assertFalse(memory.tryTake(70_000, bodyBytes = 70_000))
        assertTrue(memory.tryTake(50_000, bodyBytes = 50_000))
        assertFalse(memory.tryTake(60_000, bodyBytes = 60_000))
        memory.giveBack(300_000)
        assertTrue(memory.tryTake(70_000, bodyBytes = 70_000))
    }

    /** Guards against uploads that exhaust the memory, so that the entry answers nobody (CONFIG). */
    @Test
    fun `an upload without room is rejected at once, and small requests are answered`() =
        withMemory(LARGE_BYTES * 2L) { fixture ->
            fixture.connect().use { first ->
                first.send(request("/once/x", large, LIMIT).dropLast(1))
                Thread.sleep(100)
                val second = fixture.connect().also { it.send(request("/once/x", large, LIMIT).take(5_000)) }
                val rejected = readAll(second)
                assertContains(rejected, "503")
                assertContains(rejected, "entry-overloaded")
                assertContains(fixture.exchange("/once/x", body = "b", headers = LIMIT), "own answer")
                first.send("l")
                assertContains(readAll(first), "own answer")
            }
            assertContains(fixture.exchange("/once/x", body = large, headers = LIMIT), "own answer")
        }

    /** Guards against memory that stays taken by callers that leave in the middle of a body. */
    @Test
    fun `a caller that leaves gives the memory of its body back`() =
        withMemory(LARGE_BYTES * 2L) { fixture ->
            repeat(3) {
                fixture.connect().use { caller -> caller.send(request("/once/x", large, LIMIT).dropLast(1)) }
                Thread.sleep(100)
            }
            assertContains(fixture.exchange("/once/x", body = large, headers = LIMIT), "own answer")
        }

    private companion object {
        const val LARGE_BYTES = 1_000_000
        const val LIMIT = "key: key-1\r\nlimit: 5000\r\n"
    }
}
