package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.http.AnswerMemory
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.assertContains
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A server that sends bytes without end on many connections at once, beside a sound server of another service. */
@Timeout(60, unit = TimeUnit.SECONDS)
class EndlessAnswersTogetherTest {
    private val memory = AnswerMemory(MEMORY_BYTES)

    /** Guards against memory that many answers take together, and against callers who wait for their end. */
    @ParameterizedTest
    @MethodSource("endless")
    fun `answers without end take a part of the memory, and other callers are served in time`(bytes: Endless) {
        val sentBytes = AtomicLong()
        val bad =
            ScriptedServer { request, connection ->
                val start = bytes.start.replace("ID", requestId(request))
                EndlessBytes(sentBytes, ENDLESS_TIME).send(connection, start, bytes.rest)
            }
        val sound = ScriptedServer { request, connection -> connection.send(answer(request, "whole")) }
        GatewayFixture(bad, otherServer = sound, slots = CALLERS, answerMemory = memory).use { fixture ->
            val callers = List(CALLERS) { thread { fixture.exchange(bytes.path) } }
            val watch = thread { watchMemory(callers) }
            var exchanges = 0
            while (callers.any { it.isAlive } || exchanges < LEAST_EXCHANGES) {
                val startedAt = TimeSource.Monotonic.markNow()
                assertContains(fixture.exchange("/other/x", "b").lines().first(), "200 OK")
                val waited = startedAt.elapsedNow()
                assertTrue(waited < GatewayFixture.TIME_LIMIT, "a caller of another service waited $waited")
                exchanges += 1
            }
            watch.join()
        }
        bad.close()
        sound.close()
        assertTrue(mostHeldBytes <= MEMORY_BYTES / 2 + READ_BYTES, "$mostHeldBytes bytes were held")
    }

    @Volatile
    private var mostHeldBytes = 0L

    private fun watchMemory(callers: List<Thread>) {
        while (callers.any { it.isAlive }) {
            mostHeldBytes = maxOf(mostHeldBytes, memory.heldBytes)
            Thread.sleep(1)
        }
    }

    /** What callers of [path] get: [start], where `ID` is the identity of the request, then [rest] without end. */
    class Endless(val path: String, val start: String, val rest: String) {
        override fun toString() = "$path: ${start.substringAfter(
            HEAD,
        ).trim()}${rest.take(LABEL_CHARS)}".replace("\r\n", " ")
    }

    companion object {
        private const val HEAD = "HTTP/1.1 200 OK\r\nid: ID\r\nsignature: s\r\n"
        private const val CHUNKED = "${HEAD}transfer-encoding: chunked\r\n\r\n"
        private const val LABEL_CHARS = 12
        private const val CALLERS = 60
        private const val LEAST_EXCHANGES = 20
        private const val MEMORY_BYTES = 24_000_000L

        /** What one read may bring before it is counted. */
        private const val READ_BYTES = 65_536
        private val ENDLESS_TIME = 3.seconds

        @JvmStatic
        fun endless(): List<Endless> =
            listOf("/safe/a", "/once/a", "/stream/a").flatMap { path ->
                listOf(
                    Endless(path, "HTTP/1.1 200 ", "x"),
                    Endless(path, HEAD, "n:\r\n"),
                    Endless(path, "${HEAD}name: ", "x"),
                    Endless(path, "$HEAD\r\n", "x"),
                    Endless(path, "$HEAD\r\n", "\u0000"),
                    Endless(path, "${HEAD}content-length: 9000000000\r\n\r\n", "x"),
                    Endless(path, CHUNKED, "4\r\nabcd\r\n"),
                    Endless(path, CHUNKED, "1000\r\n${"x".repeat(4_096)}\r\n"),
                    Endless(path, CHUNKED, "1;${"x".repeat(2_000)}\r\nx\r\n"),
                    Endless(path, "${CHUNKED}1;", "x"),
                    Endless(path, "${CHUNKED}0\r\n", "n: v\r\n"),
                    Endless(path, "", "HTTP/1.1 100 Continue\r\n\r\n"),
                )
            }
    }
}
