package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.chunk
import org.yuccajunction.gateway.ScriptedServer.Companion.event
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.gateway.ScriptedServer.Companion.streamHead
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** What callers get of a stream that has broken off after two events, by how another server answers the resumption. */
@Timeout(60, unit = TimeUnit.SECONDS)
class ResumedStreamTest {
    /** Returns all that a caller gets that keeps its connection open, and how long it waited, in milliseconds. */
    private fun resumedBy(resumption: (request: String) -> String): Pair<String, Long> {
        val servers =
            List(2) {
                ScriptedServer { request, connection ->
                    if ("last-event: 2" in request) {
                        connection.send(resumption(request))
                    } else {
                        connection.send(streamHead(request) + chunk(event(1) + event(2)))
                        connection.close()
                    }
                }
            }
        return GatewayFixture(*servers.toTypedArray()).use { fixture ->
            fixture.connect().use { caller ->
                val startedAt = System.nanoTime()
                caller.send(request("/stream/x").replace("connection: close", "connection: keep-alive"))
                val answered = GatewayFixture.readAll(caller)
                servers.forEach { it.close() }
                answered to TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)
            }
        }
    }

    private fun assertBrokenOff(resumption: (request: String) -> String) {
        val (answered, millis) = resumedBy(resumption)
        assertContains(answered, "piece 2")
        assertEquals(1, answered.split("HTTP/1.1").size - 1, answered)
        assertFalse("intruder" in answered, answered)
        assertFalse("\r\n0\r\n\r\n" in answered, answered)
        assertTrue(millis < LIMIT_MILLIS, "ended after $millis ms")
    }

    /** Guards against the text of an error in the middle of a stream, and against a stream that never ends. */
    @ParameterizedTest
    @ValueSource(strings = ["302 Found", "404 Not Found", "409 Conflict", "429 Too Many Requests", "500 Failed"])
    fun `a resumption that is answered with an error ends the stream as broken off`(status: String) =
        assertBrokenOff { answer(it, "intruder", status) }

    /** Guards against events of an answer that is none in the middle of a stream. */
    @ParameterizedTest
    @ValueSource(strings = ["000 OK", "0200 OK", "999 OK", "200 OK\r\nna me: v", "200 OK\r\n name: v"])
    fun `a resumption that is answered with bytes that are no answer is broken off`(start: String) =
        assertBrokenOff { "${streamHead(it).replace("200 OK", start)}${chunk("id: 3\ndata: intruder\n\n")}0\r\n\r\n" }

    @Test
    fun `a resumption that another server ends before the events that were sent is broken off`() =
        assertBrokenOff { streamHead(it) + chunk(event(1)) + "0\r\n\r\n" }

    @Test
    fun `a resumption without further events completes the stream`() {
        val (answered, _) = resumedBy { streamHead(it) + "0\r\n\r\n" }
        assertContains(answered, "piece 2")
        assertContains(answered, "\r\n0\r\n\r\n")
    }

    private companion object {
        /** Well below the time for which the caller's socket reads, and above the time limit of the request. */
        const val LIMIT_MILLIS = 3_000L
    }
}
