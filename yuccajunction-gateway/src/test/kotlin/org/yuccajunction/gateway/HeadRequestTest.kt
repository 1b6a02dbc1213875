package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** HEAD requests, whose answers have no body, on connections that callers keep. */
@Timeout(60, unit = TimeUnit.SECONDS)
class HeadRequestTest {
    private fun server() =
        ScriptedServer { request, connection ->
            val isHead = request.startsWith("HEAD")
            val head = "HTTP/1.1 200 OK\r\nid: ${requestId(request)}\r\nsignature: s\r\ncontent-length: 9\r\n\r\n"
            connection.send(if (isHead) head else answer(request, "own answer"))
        }

    private fun head(path: String) =
        request(path).replace("GET", "HEAD").replace("connection: close", "connection: keep-alive")

    /** Guards against the body of a refusal that stands before the status line of the next answer (MIXED). */
    @ParameterizedTest
    @ValueSource(strings = ["/unknown/x", "/safe/x", "/stream/x"])
    fun `no body follows the head of an answer to HEAD`(path: String) {
        server().use { server ->
            GatewayFixture(server).use { fixture ->
                fixture.connect().use { caller ->
                    caller.send(head(path) + request("/once/x", body = "b", id = "r2"))
                    val answered = GatewayFixture.readAll(caller)
                    val second = answered.substringAfter("\r\n\r\n")
                    assertEquals("HTTP/1.1 200 OK", second.lines().first(), answered)
                    assertContains(second, "own answer")
                }
            }
        }
    }

    @Test
    fun `an answer to HEAD keeps the length that the server has named`() {
        server().use { server ->
            GatewayFixture(server).use { fixture ->
                fixture.connect().use { caller ->
                    caller.send(head("/safe/x").replace("keep-alive", "close"))
                    assertContains(GatewayFixture.readAll(caller).lowercase(), "content-length: 9")
                }
            }
        }
    }
}
