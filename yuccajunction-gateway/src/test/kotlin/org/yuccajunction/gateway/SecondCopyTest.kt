package org.yuccajunction.gateway

import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.net.Socket
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A server that sends a second copy of an answer, after the next request was sent on the connection. */
class SecondCopyTest {
    /** Answers the first request by [first], any other by a whole answer, after a copy of [first] where it can. */
    private fun withCopies(first: (request: String) -> String, test: (GatewayFixture, ScriptedServer) -> Unit) {
        val copy = AtomicReference<Pair<Socket, String>>()
        val server =
            ScriptedServer { request, connection ->
                if (copy.compareAndSet(null, connection to first(request))) {
                    connection.send(copy.get().second)
                } else {
                    if (connection === copy.get().first) connection.send(copy.get().second)
                    connection.send(answer(request, "own answer"))
                }
            }
        server.use { GatewayFixture(it).use { fixture -> test(fixture, it) } }
    }

    private fun assertSecondCallerGetsItsOwn(first: (request: String) -> String) =
        withCopies(first) { fixture, _ ->
            fixture.exchange("/once/x", body = "b")
            fixture.connect().use { caller ->
                caller.send(request("/once/x", body = "b", id = "r2"))
                assertContains(GatewayFixture.readAll(caller), "own answer")
            }
        }

    @Test
    fun `a copy that names its request is skipped`() =
        assertSecondCallerGetsItsOwn { answer(it, "first answer", status = "404 Not Found") }

    /** An answer without the request's identity can't be told from one to the next request. */
    @Test
    fun `a copy of an error that names no request reaches no other caller`() =
        assertSecondCallerGetsItsOwn { "HTTP/1.1 404 Not Found\r\ncontent-length: 5\r\n\r\nfirst" }

    /** Otherwise the second call would be rejected as not executed while it is executed, and executed again. */
    @Test
    fun `a copy of a rejection that names no request does not count for the next request`() =
        withCopies({ "HTTP/1.1 429 Too Many Requests\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n" }) { fixture, server ->
            fixture.exchange("/once/x", body = "b")
            val sentBefore = server.requests.size
            assertContains(fixture.exchange("/once/x", body = "b"), "own answer")
            assertEquals(sentBefore + 1, server.requests.size)
        }

    /**
     * Answers the first request by [first], and every other by [first] without its identity and then by a whole answer.
     *
     * The copy stands where the answer to a second request on the connection is expected.
     */
    private fun withUnnamedCopies(first: (request: String) -> String, test: (GatewayFixture, ScriptedServer) -> Unit) {
        val answered = AtomicReference<Pair<Socket, String>>()
        val server =
            ScriptedServer { request, connection ->
                if (answered.compareAndSet(null, connection to first(request))) {
                    connection.send(answered.get().second)
                } else {
                    val copy = answered.get().second.lines().filterNot { it.startsWith("id:") }.joinToString("\r\n")
                    if (connection === answered.get().first) connection.send(copy)
                    connection.send(answer(request, "own answer"))
                }
            }
        server.use { GatewayFixture(it).use { fixture -> test(fixture, it) } }
    }

    /** Otherwise the second call would be rejected as not executed while it is executed (REFUSED). */
    @Test
    fun `an unnamed copy of a rejection that named its request does not count for the next request`() =
        withUnnamedCopies({ answer(it, "", "503 Service Unavailable", "not-run: 1\r\n") }) { fixture, server ->
            fixture.exchange("/once/x", body = "b")
            val sentBefore = server.requests.size
            val answered = fixture.exchange("/once/x", body = "b")
            assertContains(answered.lines().first(), "502")
            assertEquals(sentBefore + 1, server.requests.size)
        }

    /** Otherwise the second caller would get the answer to the first one (MIXED). */
    @Test
    fun `an unnamed copy of a failure that named its request reaches no other caller`() =
        withUnnamedCopies({ answer(it, "first answer", "404 Not Found") }) { fixture, _ ->
            assertContains(fixture.exchange("/once/x", body = "b"), "first answer")
            val answered = fixture.exchange("/once/x", body = "b")
            assertContains(answered.lines().first(), "502")
            assertFalse("first answer" in answered)
        }

    /** Guards against servers whose failures name no request: each of them still answers on a new connection. */
    @Test
    fun `an unnamed failure on a new connection is passed on`() =
        ScriptedServer { _, connection -> connection.send("HTTP/1.1 500 Failed\r\ncontent-length: 4\r\n\r\nlost") }
            .use { server ->
                GatewayFixture(server).use { fixture ->
                    repeat(2) { assertContains(fixture.exchange("/once/x", body = "b"), "lost") }
                }
            }

    /** An interim answer names no request, but does not end one either. */
    @Test
    fun `an interim answer does not keep a connection from being used again`() {
        val interim = "HTTP/1.1 102 Processing\r\n\r\n"
        ScriptedServer { request, connection -> connection.send(interim + answer(request, "whole")) }.use { server ->
            GatewayFixture(server).use { fixture ->
                repeat(3) { assertTrue("whole" in fixture.exchange("/once/x", body = "b")) }
                assertEquals(1, server.connections.size)
            }
        }
    }
}
