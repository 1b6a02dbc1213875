package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.readHead
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.reset
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.seconds

/** Answers without a length that a server breaks off, which must not reach callers as whole. */
@Timeout(60, unit = TimeUnit.SECONDS)
class CutAnswerTest {
    private val half = "h".repeat(50_000)

    private fun head(request: String) = "HTTP/1.1 200 OK\r\nid: ${requestId(request)}\r\nsignature: s\r\n\r\n"

    /** Returns what a caller gets whose long request the server answers, by [script], before it has read its body. */
    private fun answerToLongRequest(
        path: String = "/once/x",
        bodyBytes: Int = LONG_BODY_BYTES,
        script: (request: String, connection: Socket) -> Unit,
    ): String =
        ScriptedServer(SMALL_BUFFER_BYTES, ::readHead, script).use { server ->
            GatewayFixture(server, timeLimit = 5.seconds, maxBodyBytes = LONG_BODY_BYTES).use { fixture ->
                fixture.connect().use { caller ->
                    val body = "b".repeat(bodyBytes)
                    thread(isDaemon = true) { runCatching { caller.send(request(path, body, LONG_LIMIT)) } }
                    GatewayFixture.readAll(caller)
                }
            }
        }

    /** A reset that the write of the rest of the request meets first is no exception of the reading side. */
    @Test
    fun `an answer that is reset while its request is still being sent is not whole`() {
        val answered =
            answerToLongRequest { request, connection ->
                connection.send(head(request) + half)
                Thread.sleep(SENDING_MILLIS)
                connection.reset()
            }
        assertContains(answered.lines().first(), "502")
    }

    /** The reset comes at once, so that it may overtake the part of the answer, or while a part of it was read. */
    @ParameterizedTest
    @CsvSource("0,0", "0,1000", "50,0", "50,100000", "300,0", "300,1000000")
    fun `a part of an answer is never whole, whenever its connection is reset during an upload`(
        silenceMillis: Long,
        readBytes: Int,
    ) {
        for (path in listOf("/once/x", "/safe/x", "/stream-once/x")) {
            for (bodyBytes in listOf(UPLOAD_BYTES, LONG_BODY_BYTES)) {
                val answered =
                    answerToLongRequest(path, bodyBytes) { request, connection ->
                        connection.send(head(request) + half)
                        connection.getInputStream().readNBytes(readBytes)
                        Thread.sleep(silenceMillis)
                        connection.reset()
                    }
                assertContains(answered.lines().first(), "502", message = "$path, $bodyBytes bytes")
            }
        }
    }

    /** A server that is killed while no byte of the request waits to be read ends the connection without a reset. */
    @Test
    fun `an answer that ends before its request has been sent is not whole`() {
        val answered =
            answerToLongRequest { request, connection ->
                connection.send(head(request) + half)
                connection.shutdownOutput()
                Thread.sleep(LONG_SILENCE_MILLIS)
            }
        assertContains(answered.lines().first(), "502")
    }

    @Test
    fun `an answer that ends with the connection after the whole request was read is whole`() {
        val answered =
            answerToLongRequest { request, connection ->
                connection.send(head(request) + half)
                connection.getInputStream().readNBytes(LONG_BODY_BYTES)
                connection.send(half)
                connection.close()
            }
        assertContains(answered.lines().first(), "200")
        assertEquals(half + half, answered.substringAfter("\r\n\r\n"))
    }

    @Test
    fun `a stream that is reset after a whole event does not look complete`() {
        val server =
            ScriptedServer { request, connection ->
                connection.send(head(request) + ScriptedServer.event(1))
                Thread.sleep(SENDING_MILLIS)
                connection.reset()
            }
        val answered = server.use { GatewayFixture(it).use { fixture -> fixture.exchange("/stream-once/x", "b") } }
        assertContains(answered, "piece 1")
        assertFalse(answered.endsWith("0\r\n\r\n"), answered)
    }

    private companion object {
        const val SMALL_BUFFER_BYTES = 16_384
        const val UPLOAD_BYTES = 2_000_000
        const val LONG_BODY_BYTES = 12_000_000
        const val LONG_LIMIT = "key: key-1\r\nlimit: 5000\r\n"
        const val SENDING_MILLIS = 300L
        const val LONG_SILENCE_MILLIS = 2_000L
    }
}
