package org.yuccajunction.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import org.yuccajunction.gateway.OddAnswers.EVENT
import org.yuccajunction.gateway.OddAnswers.FIELDS
import org.yuccajunction.gateway.OddAnswers.STATUS
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.model.Endpoint
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Calls of the platform, such as those of its store, whose answers are broken or have no end. */
@Timeout(60, unit = TimeUnit.SECONDS)
class PlatformHttpClientTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val client = PlatformHttpClient(loop)

    @AfterEach
    fun shutDown() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    private fun replies(calls: Int = 1, script: (request: String, connection: Socket) -> Unit): List<HttpReply> =
        ScriptedServer(script).use { server ->
            val endpoint = Endpoint(InetAddress.getLoopbackAddress().hostAddress, server.port)
            List(calls) {
                runBlocking {
                    withContext(loop.asCoroutineDispatcher()) {
                        client.call(endpoint, "PUT", "/-/objects/kind/name", "{}", TIMEOUT)
                    }
                }
            }
        }

    private fun reply(answer: String): HttpReply =
        replies { _, connection ->
            connection.send(answer)
            connection.close()
        }.single()

    private fun body(reply: HttpReply): String = assertIs<HttpReply.Answered>(reply).body

    /** Guards against a write that is taken for refused though the store has carried it out. */
    @Test
    fun `a call that gets no answer by the grammar is unanswered`() {
        val statuses = listOf("000", "099", "20", "600", "999", "1000", "0200", "2x0", "").map { "HTTP/1.1 $it OK\r\n" }
        val fields =
            listOf("na me: v", " name: v", "name : v", "na\u0001me: v", "na\u0000me: v", "na\u007fme: v", ": v", "name")
        val heads = statuses.map { it + FIELDS } + fields.map { "$STATUS$it\r\n$FIELDS" }
        val answered = heads.associateWith { reply("$it\r\n$EVENT") }
        assertEquals(emptySet(), answered.filterValues { it !is HttpReply.Unanswered }.keys)
    }

    /** Guards against an interim answer that is taken for the answer, which then answers the next call. */
    @Test
    fun `an answer behind interim answers is the answer`() {
        val interim = "HTTP/1.1 103 Early Hints\r\nname: v\r\n\r\n"
        val number = AtomicLong()
        val replies =
            replies(calls = 2) { _, connection ->
                val body = "own ${number.incrementAndGet()}"
                connection.send("$interim${STATUS}content-length: ${body.length}\r\n\r\n$body")
            }
        assertEquals(listOf("own 1", "own 2"), replies.map(::body))
    }

    /** Guards against the rest of a broken answer that stands before the answer to the next call. */
    @Test
    fun `a connection on which a part of an answer follows an answer carries no other call`() {
        val number = AtomicLong()
        val replies =
            replies(calls = 2) { _, connection ->
                val body = "own ${number.incrementAndGet()}"
                connection.send("${STATUS}content-length: ${body.length}\r\n\r\n${body}HTTP/1.1 404 Not")
            }
        assertEquals(listOf("own 1", "own 2"), replies.map(::body))
    }

    /** Guards against a call of the former holder of the duties that arrives after those of the next one. */
    @Test
    fun `the rest of a call that was given up does not arrive later`() {
        val reader = LateReader(readsAfterMillis = 1_000)
        reader.server.use { server ->
            val endpoint = Endpoint(InetAddress.getLoopbackAddress().hostAddress, server.port)
            val reply =
                runBlocking {
                    withContext(loop.asCoroutineDispatcher()) {
                        client.call(endpoint, "POST", "/usage", "b".repeat(LONG_BODY_BYTES), 300.milliseconds)
                    }
                }
            assertIs<HttpReply.Unanswered>(reply)
            assertTrue(reader.arrivedBytes() < LONG_BODY_BYTES, "${reader.arrivedBytes()} bytes have arrived")
        }
    }

    /** Guards against connections that stay open for ever, one for each call that ends while it connects. */
    @Test
    fun `a call that is cancelled while it connects leaves no connection`() {
        ScriptedServer { _, _ -> }.use { server ->
            val endpoint = Endpoint(InetAddress.getLoopbackAddress().hostAddress, server.port)
            runBlocking(loop.asCoroutineDispatcher()) {
                val call =
                    launch(start = CoroutineStart.UNDISPATCHED) { client.call(endpoint, "GET", "/", null, TIMEOUT) }
                call.cancelAndJoin()
            }
            val deadline = TimeSource.Monotonic.markNow() + TIMEOUT
            while (server.endedConnections.isEmpty() && deadline.hasNotPassedNow()) Thread.sleep(10)
            assertEquals(listOf(0), server.endedConnections.toList())
        }
    }

    @Test
    fun `answers without end are broken off`() {
        val chunked = "${STATUS}transfer-encoding: chunked\r\n\r\n"
        val endless =
            listOf(
                "" to "x",
                "HTTP/1.1 200 " to "x",
                STATUS to "name: value\r\n",
                "${STATUS}name: " to "x",
                "$STATUS\r\n" to "x",
                "$STATUS\r\n" to "\u0000",
                chunked to "0",
                chunked to "1000\r\n${"x".repeat(4_096)}\r\n",
                chunked to "1;${"x".repeat(2_000)}\r\nx\r\n",
                "${chunked}0\r\n" to "name: value\r\n",
                "" to "HTTP/1.1 100 Continue\r\n\r\n",
            )
        for ((start, rest) in endless) {
            val sent = AtomicLong()
            val reply = replies { _, connection -> EndlessBytes(sent).send(connection, start, rest) }.single()
            assertIs<HttpReply.Unanswered>(reply, "$start$rest")
            assertTrue(sent.get() <= MAX_BYTES, "${sent.get()} bytes of $start$rest were read")
        }
    }

    private companion object {
        val TIMEOUT = 4_000.milliseconds
        const val LONG_BODY_BYTES = 200_000

        /** Whole answers may have 8 MiB; the rest is for buffers of the sockets. */
        const val MAX_BYTES = 20 * 1_048_576L
    }
}
