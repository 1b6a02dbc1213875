package org.yuccajunction.gateway

import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.chunk
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.gateway.ScriptedServer.Companion.streamHead
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Runs the data plane before a server whose answers have no end until the gateway closes the connection. */
class EndlessAnswerTest {
    private val sentBytes = AtomicLong()

    private fun answerTo(path: String, start: (request: String) -> String, rest: String): String =
        ScriptedServer { request, connection ->
            EndlessBytes(sentBytes, TEST_TIME).send(connection, start(request), rest)
        }.use { server ->
            GatewayFixture(server).use { it.exchange(path) }
        }

    private fun assertEndsEarly(path: String, rest: String, start: (request: String) -> String) {
        val answered = answerTo(path, start, rest)
        assertContains(answered, "502")
        assertTrue(sentBytes.get() <= MAX_BYTES, "${sentBytes.get()} bytes were read")
    }

    @Test
    fun `a status line without end is broken off`() = assertEndsEarly("/safe/a", "x") { "HTTP/1.1 200 " }

    @Test
    fun `a header without end is broken off`() = assertEndsEarly("/safe/a", "x") { "HTTP/1.1 200 OK\r\nname: " }

    @Test
    fun `headers without end are broken off`() = assertEndsEarly("/safe/a", "name: value\r\n") { "HTTP/1.1 200 OK\r\n" }

    @Test
    fun `a body without end is broken off`() =
        assertEndsEarly("/safe/a", "x") { "HTTP/1.1 200 OK\r\nid: ${requestId(it)}\r\nsignature: s\r\n\r\n" }

    @Test
    fun `a chunk size without end is broken off`() =
        assertEndsEarly("/safe/a", "0") {
            "HTTP/1.1 200 OK\r\nid: ${requestId(it)}\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n"
        }

    @Test
    fun `an event without end is broken off`() = assertEndsEarly(
        "/stream/",
        "1000\r\n${"x".repeat(4_096)}\r\n",
        ::streamHead,
    )

    /** Guards against interim answers that keep a request waiting until its deadline. */
    @Test
    fun `interim answers without end are broken off`() =
        assertEndsEarly("/safe/a", "HTTP/1.1 100 Continue\r\n\r\n") { "" }

    /** Guards against bytes that belong to no request and keep one waiting until its deadline. */
    @Test
    fun `a body without end in an answer to another request is broken off`() =
        assertEndsEarly("/safe/a", "x") { "HTTP/1.1 200 OK\r\nid: another\r\nsignature: s\r\n\r\n" }

    /** Guards against memory that grows with a stream that its caller does not read. */
    @Test
    fun `no more of a stream is read from the server than its caller takes`() {
        val script = { request: String, connection: Socket ->
            connection.send(streamHead(request))
            val deadline = TimeSource.Monotonic.markNow() + TEST_TIME
            var number = 0
            while (deadline.hasNotPassedNow()) {
                number += 1
                val bytes = chunk("id: $number\ndata: ${"x".repeat(EVENT_BYTES)}\n\n")
                connection.send(bytes)
                sentBytes.addAndGet(bytes.length.toLong())
            }
        }
        ScriptedServer(script).use { server ->
            GatewayFixture(server).use { fixture ->
                fixture.connect().use { caller ->
                    caller.send(request("/stream/"))
                    Thread.sleep(1_000)
                    assertTrue(sentBytes.get() <= MAX_BYTES, "${sentBytes.get()} bytes were read")
                }
            }
        }
    }

    private companion object {
        const val EVENT_BYTES = 32_768

        /** Whole answers may have 8 MiB; the rest is for buffers of the sockets. */
        const val MAX_BYTES = 20 * 1_048_576L
        val TEST_TIME: Duration = 3.seconds
    }
}
