package org.yuccajunction.gateway

import org.yuccajunction.gateway.ScriptedServer.Companion.chunk
import org.yuccajunction.gateway.ScriptedServer.Companion.event
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.gateway.ScriptedServer.Companion.streamHead
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class StreamProgressGatewayTest {
    /** Runs [test] before two servers that answer the first request by [first] and any other by [other]. */
    private fun withServers(
        first: (String, Socket) -> Unit,
        other: (String, Socket) -> Unit,
        test: (GatewayFixture, AtomicInteger) -> Unit,
    ) {
        val requests = AtomicInteger()
        val script: (String, Socket) -> Unit = { request, connection ->
            if (requests.getAndIncrement() == 0) first(request, connection) else other(request, connection)
        }
        ScriptedServer(script).use { one ->
            ScriptedServer(script).use { another ->
                GatewayFixture(one, another, timeLimit = 6.seconds).use { test(it, requests) }
            }
        }
    }

    private fun wholeStream(request: String, connection: Socket) =
        connection.send(streamHead(request) + (1..3).joinToString("") { chunk(event(it)) } + "0\r\n\r\n")

    /** Guards against a stalled stream that its caller waits for until the time limit. */
    @Test
    fun `a stream whose server sends single bytes instead of events goes on at another server`() {
        val trickle: (String, Socket) -> Unit = { request, connection ->
            connection.send(streamHead(request) + chunk(event(1)) + chunk(event(2)))
            repeat(60) {
                Thread.sleep(100)
                connection.send(chunk("d"))
            }
        }
        withServers(trickle, ::wholeStream) { fixture, requests ->
            val answer = fixture.exchange("/stream/x", body = "b", headers = LONG_LIMIT)
            assertEquals(2, requests.get())
            assertContains(answer, event(3))
            assertTrue(answer.endsWith("0\r\n\r\n"), answer)
        }
    }

    /** Guards against slow but healthy streams that are moved, and so computed twice. */
    @Test
    fun `a stream with a second between its events stays at its server`() {
        val slow: (String, Socket) -> Unit = { request, connection ->
            connection.send(streamHead(request))
            for (number in 1..4) {
                connection.send(chunk(event(number)))
                Thread.sleep(300L * number)
            }
            connection.send("0\r\n\r\n")
        }
        withServers(slow, ::wholeStream) { fixture, requests ->
            val answer = fixture.exchange("/stream/x", body = "b", headers = LONG_LIMIT)
            assertEquals(1, requests.get())
            assertTrue(answer.endsWith("0\r\n\r\n"), answer)
        }
    }

    private companion object {
        const val LONG_LIMIT = "key: key-1\r\nlimit: 6000\r\n"
    }
}
