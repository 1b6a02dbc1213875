package org.yuccajunction.gateway

import org.yuccajunction.gateway.GatewayFixture.Companion.readAll
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EntryOverloadTest {
    private fun withServer(test: (GatewayFixture, ScriptedServer) -> Unit) =
        ScriptedServer { request, connection -> connection.send(answer(request, "whole")) }.use { server ->
            GatewayFixture(server).use { test(it, server) }
        }

    /** Blocks the event loop of [fixture] while [action] runs and [millis] pass. */
    private fun whileBlocked(fixture: GatewayFixture, millis: Long = 0, action: () -> Unit) {
        val released = CountDownLatch(1)
        fixture.dataPlane.loop.execute { released.await(10, TimeUnit.SECONDS) }
        action()
        Thread.sleep(millis)
        released.countDown()
    }

    private fun Socket.sendOnKeptConnection(id: String, path: String = "/once/x", limit: Int = 1_500) =
        send(request(path, body = "b", id = id).replace("limit: 1500", "limit: $limit").replace("close", "keep-alive"))

    /** Guards against requests sent to servers for callers that have disconnected while the loop was late. */
    @Test
    fun `a request whose caller has closed its connection already is not sent to a server`() =
        withServer { fixture, server ->
            val callers = List(40) { fixture.connect() }
            whileBlocked(fixture) {
                callers.forEachIndexed { index, caller ->
                    caller.sendOnKeptConnection("gone-$index")
                    caller.close()
                }
            }
            assertContains(fixture.exchange("/once/x", body = "b"), "200 OK")
            assertEquals(emptyList(), server.requests.map(::requestId).filter { it.startsWith("gone") })
        }

    /** The same, where the connections wait in the accept queue, over more than one turn of accepts. */
    @Test
    fun `a request in the accept queue whose caller has closed its connection is not sent to a server`() =
        withServer { fixture, server ->
            whileBlocked(fixture) {
                repeat(40) { index -> fixture.connect().use { it.sendOnKeptConnection("gone-$index") } }
            }
            assertContains(fixture.exchange("/once/x", body = "b"), "200 OK")
            assertEquals(emptyList(), server.requests.map(::requestId).filter { it.startsWith("gone") })
        }

    /** Guards against a server that is given more time than the caller has left, as the loop read the request late. */
    @Test
    fun `the time for which a request waited in the socket counts against its deadline`() =
        withServer { fixture, server ->
            val kept = fixture.connect()
            val late = fixture.connect()
            fixture.onLoop {}
            whileBlocked(fixture, millis = 600) {
                kept.sendOnKeptConnection("kept", limit = 1_400)
                late.sendOnKeptConnection("late", limit = 500)
            }
            val rejection = readHead(late)
            assertContains(rejection, "HTTP/1.1 503")
            assertContains(rejection, "retry-after: 0.")
            assertContains(readHead(kept), "200 OK")
            val sent = server.requests.single()
            assertEquals("kept", requestId(sent))
            val limit = sent.lines().first { it.startsWith("limit:") }.substringAfter(':').trim().toInt()
            assertTrue(limit in 1..800, "the server was given $limit ms, though the caller had at most 800 ms left")
        }

    /** Guards against a request that is sent on a connection that was opened after the caller had disconnected. */
    @Test
    fun `a request that waits for its connection is not sent once its caller has left`() =
        withServer { fixture, server ->
            val caller = fixture.connect()
            fixture.onLoop {}
            // Waits until the connection to the server has been requested, then blocks the loop until it is open.
            val blocked = CountDownLatch(1)
            val released = CountDownLatch(1)
            fixture.onLoop { blockAfterDispatch(fixture, blocked, released) }
            caller.sendOnKeptConnection("gone")
            assertTrue(blocked.await(5, TimeUnit.SECONDS), "the request was not dispatched")
            caller.close()
            Thread.sleep(50)
            released.countDown()
            assertContains(fixture.exchange("/once/x", body = "b"), "200 OK")
            assertEquals(emptyList(), server.requests.map(::requestId).filter { it == "gone" })
        }

    private fun blockAfterDispatch(fixture: GatewayFixture, blocked: CountDownLatch, released: CountDownLatch) {
        if (fixture.dataPlane.openExchangeCount == 0) {
            fixture.dataPlane.loop.schedule(
                { blockAfterDispatch(fixture, blocked, released) },
                0,
                TimeUnit.NANOSECONDS,
            )
            return
        }
        blocked.countDown()
        released.await(5, TimeUnit.SECONDS)
    }

    /** Guards against a backlog that is worked through in order, so that every answer comes too late. */
    @Test
    fun `requests that are too old while the loop stays late are rejected with Retry-After and reach no server`() =
        withServer { fixture, server ->
            val first = fixture.connect()
            val callers = List(20) { fixture.connect() }
            fixture.onLoop {}
            whileBlocked(fixture, millis = 400) { first.sendOnKeptConnection("first") }
            assertContains(readHead(first), "200 OK")
            whileBlocked(fixture, millis = 1_000) {
                callers.forEachIndexed { index, caller -> caller.sendOnKeptConnection("old-$index") }
            }
            callers.forEach { caller ->
                val rejection = readHead(caller)
                assertContains(rejection, "HTTP/1.1 503")
                assertContains(rejection, "retry-after: 0.")
            }
            assertEquals(listOf("first"), server.requests.map(::requestId))
            assertContains(fixture.exchange("/once/x", body = "b"), "200 OK")
        }

    private fun readHead(connection: Socket): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(connection.getInputStream().read().toChar())
        return head.toString()
    }
}
