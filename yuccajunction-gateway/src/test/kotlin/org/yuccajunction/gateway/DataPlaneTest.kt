package org.yuccajunction.gateway

import org.yuccajunction.gateway.GatewayFixture.Companion.readAll
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
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class DataPlaneTest {
    private fun <T> withServers(
        vararg scripts: (String, Socket) -> Unit,
        test: (GatewayFixture, List<ScriptedServer>) -> T,
    ): T {
        val servers = scripts.map { ScriptedServer(it) }
        return GatewayFixture(*servers.toTypedArray()).use { fixture ->
            try {
                test(fixture, servers)
            } finally {
                servers.forEach { it.close() }
            }
        }
    }

    private fun await(condition: () -> Boolean): Boolean {
        val deadline = TimeSource.Monotonic.markNow() + 3.seconds
        while (!condition() && deadline.hasNotPassedNow()) Thread.sleep(10)
        return condition()
    }

    @Test
    fun `method, path, query and body are forwarded to the server, the key is not`() =
        withServers({ request, connection -> connection.send(answer(request, "whole")) }) { fixture, servers ->
            val answered = fixture.exchange("/once/a%20b/../c?d=1", body = "0123456789")
            assertContains(answered, "HTTP/1.1 200 OK")
            assertContains(answered, "signature: s")
            assertTrue(answered.endsWith("\r\n\r\nwhole"), answered)
            val seen = servers.single().requests.single()
            assertContains(seen, "POST /once/a%20b/../c?d=1 HTTP/1.1")
            assertTrue(seen.endsWith("0123456789"))
            assertFalse("key-1" in seen)
            assertContains(seen, "server: server-0")
        }

    @Test
    fun `a truncated answer to a non-repeatable call ends as outcome unknown, and the call is sent once`() =
        withServers(
            { request, connection ->
                connection.send(answer(request, "0123456789").dropLast(3))
                connection.close()
            },
        ) { fixture, servers ->
            assertContains(fixture.exchange("/once/x", body = "b"), "HTTP/1.1 502")
            assertEquals(1, servers.single().requests.size)
        }

    @Test
    fun `a truncated answer to a repeatable call is retried at another server`() {
        val truncating: (String, Socket) -> Unit = { request, connection ->
            connection.send(answer(request, "0123456789").dropLast(3))
            connection.reset()
        }
        val answering: (String, Socket) -> Unit = { request, connection -> connection.send(answer(request, "whole")) }
        repeat(5) {
            withServers(truncating, answering) { fixture, _ ->
                val answered = fixture.exchange("/safe/x")
                assertContains(answered, "HTTP/1.1 200 OK")
                assertTrue(answered.endsWith("whole"))
            }
        }
    }

    @Test
    fun `an answer without length is whole when its connection is closed, but not when the connection is reset`() {
        val unframed = { request: String ->
            "HTTP/1.1 200 OK\r\nid: ${ScriptedServer.requestId(request)}\r\nsignature: s\r\n\r\n"
        }
        withServers(
            { request, connection ->
                connection.send(unframed(request) + "whole")
                connection.close()
            },
        ) { fixture, _ ->
            assertTrue(
                fixture.exchange("/once/x", body = "b").endsWith("content-length: 5\r\nconnection: close\r\n\r\nwhole"),
            )
        }
        withServers(
            { request, connection ->
                connection.send(unframed(request) + "half")
                Thread.sleep(50)
                connection.reset()
            },
        ) { fixture, _ -> assertContains(fixture.exchange("/once/x", body = "b"), "HTTP/1.1 502") }
    }

    @Test
    fun `a second answer to one request is discarded and its connection is not reused`() =
        withServers({ request, connection ->
            connection.send(answer(request, "one") + answer(request, "two"))
        }) { fixture, servers ->
            repeat(3) { index ->
                fixture.connect().use { connection ->
                    connection.send(request("/safe/x", id = "r$index"))
                    val answered = readAll(connection)
                    assertContains(answered, "id: r$index")
                    assertTrue(answered.endsWith("one"))
                }
            }
            assertEquals(3, servers.single().connections.size)
        }

    @Test
    fun `a late answer to an earlier request is skipped`() =
        withServers(
            { request, connection ->
                val lateAnswer = "HTTP/1.1 200 OK\r\nid: former\r\nsignature: s\r\ncontent-length: 5\r\n\r\nstray"
                connection.send(lateAnswer + answer(request, "own"))
            },
        ) { fixture, _ -> assertTrue(fixture.exchange("/once/x", body = "b").endsWith("own")) }

    @Test
    fun `a success is not passed on without a signature, with a content encoding or without the request's id`() {
        val invalidHeaders =
            listOf(
                "id: r1\r\n",
                "id: r1\r\nsignature: s\r\ncontent-encoding: gzip\r\n",
                "signature: s\r\n",
            )
        for (headers in invalidHeaders) {
            withServers({ _, connection ->
                connection.send("HTTP/1.1 200 OK\r\n${headers}content-length: 1\r\n\r\nx")
            }) { fixture, _ ->
                assertContains(fixture.exchange("/once/x", body = "b"), "HTTP/1.1 502", message = headers)
            }
        }
    }

    @Test
    fun `a server's 503 becomes a 502 unless a header says that the call was not executed`() {
        withServers({ request, connection ->
            connection.send(answer(request, "", "503 Service Unavailable"))
        }) { fixture, _ ->
            assertContains(fixture.exchange("/once/x", body = "b"), "HTTP/1.1 502")
        }
        withServers(
            { request, connection ->
                connection.send(answer(request, "", "503 Service Unavailable", "not-run: 1\r\n"))
            },
        ) { fixture, _ ->
            val answered = fixture.exchange("/once/x", body = "b")
            assertContains(answered, "HTTP/1.1 503")
            assertContains(answered, "retry-after: ")
        }
    }

    @Test
    fun `a stream that breaks within an event resumes at another server after the last whole event`() {
        val breaking: (String, Socket) -> Unit = { request, connection ->
            connection.send(streamHead(request) + chunk(event(1)) + chunk(event(2) + "id: 3\nda"))
            Thread.sleep(50)
            connection.reset()
        }
        val resuming: (String, Socket) -> Unit = { request, connection ->
            val isResumed = "last-event: 2" in request
            val events = if (isResumed) event(3) else event(1) + event(2) + event(3)
            connection.send(streamHead(request) + chunk(events) + "0\r\n\r\n")
        }
        repeat(4) {
            withServers(breaking, resuming) { fixture, _ ->
                val answered = fixture.exchange("/stream/x")
                assertEquals(
                    listOf("1", "2", "3"),
                    Regex("id: (\\d+)\n").findAll(answered).map {
                        it.groupValues[1]
                    }.toList(),
                )
                assertTrue(answered.endsWith("0\r\n\r\n"), answered)
            }
        }
    }

    @Test
    fun `a broken non-repeatable stream reaches the caller without its last chunk`() =
        withServers(
            { request, connection ->
                connection.send(streamHead(request) + chunk(event(1)))
                Thread.sleep(50)
                connection.reset()
            },
        ) { fixture, servers ->
            val answered = fixture.exchange("/stream-once/x")
            assertContains(answered, "piece 1")
            assertFalse(answered.endsWith("0\r\n\r\n"))
            assertEquals(1, servers.single().requests.size)
        }

    @Test
    fun `the connection to the server is closed at once when the caller disconnects`() =
        withServers({ request, connection ->
            connection.send(streamHead(request) + chunk(event(1)))
        }) { fixture, servers ->
            fixture.connect().use { connection ->
                connection.send(request("/stream/x"))
                assertTrue(await { servers.single().requests.isNotEmpty() })
            }
            assertTrue(await { servers.single().endedConnections.isNotEmpty() })
        }

    @Test
    fun `a call without an answer ends with 504 at its time limit`() =
        withServers({ _, _ -> Thread.sleep(10_000) }) { fixture, servers ->
            val startedAt = TimeSource.Monotonic.markNow()
            assertContains(fixture.exchange("/once/x", body = "b"), "HTTP/1.1 504")
            assertTrue(startedAt.elapsedNow() < GatewayFixture.TIME_LIMIT + 0.25.seconds)
            assertTrue(await { servers.single().connections.first().isConnected })
            assertEquals(1, servers.single().requests.size)
        }

    @Test
    fun `requests with ambiguous framing are rejected and reach no server`() =
        withServers({ request, connection -> connection.send(answer(request, "x")) }) { fixture, servers ->
            val ambiguous =
                listOf(
                    "content-length: 4\r\ntransfer-encoding: chunked\r\n",
                    "content-length: 4\r\ncontent-length: 5\r\n",
                    "transfer-encoding: gzip, chunked\r\n",
                )
            for (headers in ambiguous) {
                val answered = fixture.exchange("/safe/x", headers = "key: key-1\r\n$headers")
                assertContains(answered, "HTTP/1.1 400", message = headers)
            }
            assertContains(fixture.exchange("/safe/x y"), "HTTP/1.1 4")
            assertTrue(servers.single().requests.isEmpty())
        }

    @Test
    fun `headers and bodies above the limits are rejected`() =
        withServers({ request, connection -> connection.send(answer(request, "x")) }) { fixture, _ ->
            assertContains(
                fixture.exchange("/safe/x", headers = "key: key-1\r\nlong: ${"x".repeat(3_000)}\r\n"),
                "HTTP/1.1 431",
            )
            assertContains(fixture.exchange("/once/x", body = "x".repeat(10_001)), "HTTP/1.1 413")
        }

    @Test
    fun `headers that arrive too slowly are rejected with 408`() =
        withServers({ request, connection -> connection.send(answer(request, "x")) }) { fixture, _ ->
            fixture.connect().use { connection ->
                connection.send("GET /safe/x HTTP/1.1\r\nlong: ")
                repeat(6) {
                    Thread.sleep(100)
                    connection.send("x")
                }
                fixture.onLoop { fixture.dataPlane.closeIdleConnections() }
                assertContains(GatewayFixture.readAll(connection), "HTTP/1.1 408")
            }
        }

    @Test
    fun `unknown keys and routes get 401 and 404, but 503 while the configuration is unconfirmed`() =
        withServers({ request, connection -> connection.send(answer(request, "x")) }) { fixture, _ ->
            assertContains(fixture.exchange("/safe/x", headers = "key: other\r\n"), "HTTP/1.1 401")
            assertContains(fixture.exchange("/nowhere/x"), "HTTP/1.1 404")
            fixture.suspendedMillis = 60_000
            assertContains(fixture.exchange("/safe/x"), "HTTP/1.1 503")
            assertContains(fixture.exchange("/nowhere/x"), "HTTP/1.1 503")
        }

    @Test
    fun `calls to one server reuse its connection`() =
        withServers({ request, connection -> connection.send(answer(request, "x")) }) { fixture, servers ->
            repeat(5) { assertContains(fixture.exchange("/safe/x"), "HTTP/1.1 200") }
            assertEquals(1, servers.single().connections.size)
        }
}
