package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.chunk
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.gateway.ScriptedServer.Companion.streamHead
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Streams whose callers read slowly, so that the entry stops reading from the server for a while. */
@Timeout(120, unit = TimeUnit.SECONDS)
class SlowStreamReaderTest {
    private fun server() =
        ScriptedServer { request, connection ->
            if ("/stream/" in request) {
                val events = request.substringAfter("/stream/").substringBefore(' ').toInt()
                val event = "data: ${"x".repeat(EVENT_BYTES)}\n\n"
                connection.send(streamHead(request) + chunk(event).repeat(events) + "0\r\n\r\n")
            } else {
                connection.send(answer(request, "own answer"))
            }
        }

    private fun readSlowly(fixture: GatewayFixture, events: Int) {
        fixture.connect().use { caller ->
            caller.send(request("/stream/$events").replace("limit: 1500", "limit: 9000"))
            Thread.sleep(PAUSE_MILLIS)
            caller.getInputStream().readAllBytes()
        }
    }

    /** Guards against a connection that returns to the pool with reading switched off. */
    @Test
    fun `a request after a slowly read stream on the same connection gets its answer`() {
        server().use { server ->
            GatewayFixture(server, timeLimit = 9.seconds).use { fixture ->
                val answered =
                    (0 until ROUNDS).map { round ->
                        readSlowly(fixture, EVENTS + round)
                        fixture.onLoop { fixture.dataPlane.recordConfirmation(fixture.dataPlane.clock.now()) }
                        fixture.exchange("/once/x", body = "b", headers = LONG_LIMIT).lines().first()
                    }
                assertEquals(List(ROUNDS) { "HTTP/1.1 200 OK" }, answered)
                assertContains(server.requests.last(), "/once/x")
            }
        }
    }

    private companion object {
        const val EVENT_BYTES = 8_000
        const val EVENTS = 1_000
        const val ROUNDS = 12
        const val LONG_LIMIT = "key: key-1\r\nlimit: 9000\r\n"
        const val PAUSE_MILLIS = 400L
    }
}
