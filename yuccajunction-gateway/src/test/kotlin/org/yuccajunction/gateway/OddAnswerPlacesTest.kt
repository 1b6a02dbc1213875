package org.yuccajunction.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.OddAnswers.EVENT
import org.yuccajunction.gateway.OddAnswers.FIELDS
import org.yuccajunction.gateway.OddAnswers.HEADS
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Bytes that are no answer by the grammar of HTTP, in other places than the answer to a request. */
@Timeout(120, unit = TimeUnit.SECONDS)
class OddAnswerPlacesTest {
    private val unreachable = RefusingServer()

    @AfterEach
    fun close() = unreachable.close()

    /** Guards against an answer that a peer passes on, or sends by itself, though it is none (MIXED). */
    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/safe/x", "/stream-once/x", "/stream/x"])
    fun `an answer of a peer that is none is answered with 502`(path: String) {
        for (head in HEADS) {
            val peer =
                ScriptedServer { request, connection ->
                    connection.send((head + FIELDS).replace("ID", requestId(request)) + "\r\n" + EVENT)
                    connection.close()
                }
            peer.use {
                GatewayFixture(unreachable).use { fixture ->
                    fixture.addPeer("peer", peer)
                    val answered = fixture.exchange(path, "b")
                    assertTrue(answered.startsWith("HTTP/1.1 502 "), "$head was answered with $answered")
                    assertTrue(peer.requests.isNotEmpty(), "no request was forwarded to the peer")
                }
            }
        }
    }

    /** Guards against bytes before the answer of which a part is skipped as an interim answer. */
    @Test
    fun `an interim answer that is none is answered with 502`() {
        val interims = HEADS.map { it.replace("200 OK", "103 Early Hints") } + listOf("\r\n", "HTTP/1.1 100\r\n")
        for (interim in interims) {
            val server = ScriptedServer { request, connection ->
                connection.send("$interim\r\n${answer(request, "later")}")
            }
            val answered = server.use { GatewayFixture(it).use { fixture -> fixture.exchange("/once/x", "b") } }
            assertContains(answered.lines().first(), "502", message = interim)
        }
    }

    /** Guards against a kept connection whose next answer stands behind bytes that are none. */
    @Test
    fun `a kept connection on which bytes come that are no answer carries no other request`() {
        for (head in HEADS) {
            val server =
                ScriptedServer { request, connection ->
                    connection.send(answer(request, "own ${requestId(request)}"))
                    if (requestId(request) == "r1") connection.send("$head\r\n")
                }
            assertContains(secondAnswer(server), "own r2")
            assertEquals(2, server.connections.size)
        }
    }

    /** Returns what the second of two callers gets. */
    private fun secondAnswer(server: ScriptedServer): String =
        server.use {
            GatewayFixture(server).use { fixture ->
                fixture.exchange("/once/x", "b")
                Thread.sleep(SETTLING_MILLIS)
                fixture.connect().use { caller ->
                    caller.send(request("/once/x", "b", id = "r2"))
                    GatewayFixture.readAll(caller)
                }
            }
        }

    private companion object {
        const val SETTLING_MILLIS = 50L
    }
}
