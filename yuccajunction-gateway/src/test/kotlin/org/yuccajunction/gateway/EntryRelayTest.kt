package org.yuccajunction.gateway

import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.chunk
import org.yuccajunction.gateway.ScriptedServer.Companion.event
import org.yuccajunction.gateway.ScriptedServer.Companion.reset
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.gateway.ScriptedServer.Companion.streamHead
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Runs the data planes of two entries, of which the first one reaches no server: their ports refuse connections. */
class EntryRelayTest {
    private fun withEntries(
        script: (String, Socket) -> Unit,
        test: (first: GatewayFixture, peer: GatewayFixture, server: ScriptedServer) -> Unit,
    ) {
        val unreachable = List(2) { RefusingServer() }
        val server = ScriptedServer(script)
        GatewayFixture(*unreachable.toTypedArray()).use { first ->
            GatewayFixture(server).use { peer ->
                first.addPeer("peer", peer)
                test(first, peer, server)
            }
        }
        unreachable.forEach { it.close() }
        server.close()
    }

    /** Guards against callers that are refused though another entry reaches the servers. */
    @Test
    fun `a call is answered through a peer with the status, headers and body of the server`() =
        withEntries({ request, connection -> connection.send(answer(request, "whole")) }) { first, _, server ->
            repeat(3) {
                val answered = first.exchange("/once/a", body = "0123456789")
                assertContains(answered, "HTTP/1.1 200 OK")
                assertContains(answered, "signature: s")
                assertTrue(answered.endsWith("\r\n\r\nwhole"), answered)
            }
            assertEquals(3, server.requests.size)
            assertTrue(server.requests.all { it.endsWith("0123456789") })
            assertFalse(server.requests.any { "key-1" in it })
        }

    @Test
    fun `the events of a stream are passed on through a peer`() =
        withEntries({ request, connection ->
            connection.send(streamHead(request) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n")
        }) { first, _, _ ->
            val answered = first.exchange("/stream/")
            assertContains(answered, "piece 1")
            assertContains(answered, "piece 2")
            assertTrue(answered.endsWith("0\r\n\r\n"), answered)
        }

    /** Guards against two executions of a call that may be executed once, over both entries. */
    @Test
    fun `a call that breaks behind the peer ends as outcome unknown and is not sent again`() =
        withEntries({ _, connection -> connection.reset() }) { first, _, server ->
            assertContains(first.exchange("/once/a", body = "x"), "502 Bad Gateway")
            assertEquals(1, server.requests.size)
        }

    /** Guards against a refusal of a peer that loses what it says: not executed, and when to come back. */
    @Test
    fun `a peer's refusal for want of servers reaches the caller as a refusal`() =
        withEntries({ request, connection ->
            connection.send(answer(request, "", status = "503 Service Unavailable", more = "not-run: 1\r\n"))
        }) { first, _, _ ->
            val refused = first.exchange("/once/a", body = "x")
            assertContains(refused, "HTTP/1.1 503")
            assertContains(refused, "retry-after")
            assertFalse("Entry-Refusal" in refused, refused)
        }

    /** Guards against entries that forward a request to each other in turn. */
    @Test
    fun `an entry that reaches no server either refuses what a peer forwards to it`() {
        val unreachable = List(2) { RefusingServer() }
        GatewayFixture(*unreachable.toTypedArray()).use { first ->
            GatewayFixture(*unreachable.toTypedArray()).use { second ->
                first.addPeer("second", second)
                second.addPeer("first", first)
                assertContains(first.exchange("/safe/a"), "HTTP/1.1 503")
            }
        }
        unreachable.forEach { it.close() }
    }

    /** Guards against the quota of a workspace that is charged at both entries. */
    @Test
    fun `a forwarded request is counted by the peer alone`() =
        withEntries({ request, connection -> connection.send(answer(request, "whole")) }) { first, peer, _ ->
            repeat(4) { first.exchange("/once/a", body = "x") }
            assertEquals(0, first.usage())
            assertEquals(4, peer.usage())
        }

    /** Guards against a kept connection between entries that carries the answer of one request to the next. */
    @Test
    fun `requests of one connection are answered in order through a peer`() =
        withEntries({ request, connection -> connection.send(answer(request, ScriptedServer.requestId(request))) }) {
                first,
                _,
                _,
            ->
            first.connect().use { connection ->
                connection.send(request("/safe/a", id = "r1").replace("connection: close\r\n", ""))
                connection.send(request("/safe/a", id = "r2"))
                val answered = GatewayFixture.readAll(connection)
                assertTrue(answered.indexOf("\r\n\r\nr1") in 0 until answered.indexOf("\r\n\r\nr2"), answered)
            }
        }
}
