package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.reset
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals

/** Guards against a caller that gets a whole, short answer of a server that ended in the middle of the head. */
@Timeout(120, unit = TimeUnit.SECONDS)
class CutHeadTest {
    private val heads =
        listOf("content-length: 4\r\n", "transfer-encoding: chunked\r\n", "connection: close\r\n").map { framing ->
            { request: String -> "HTTP/1.1 200 OK\r\nid: ${requestId(request)}\r\nsignature: s\r\n$framing\r\n" }
        }

    private fun statuses(path: String, head: (String) -> String, end: Socket.() -> Unit): Map<Int, String> {
        val lengthOfHead = head("id: r1").length
        return (0 until lengthOfHead).associateWith { cut ->
            val server =
                ScriptedServer { request, connection ->
                    if (cut > 0) connection.send(head(request).take(cut))
                    connection.end()
                }
            server.use { GatewayFixture(it).use { fixture -> fixture.exchange(path, "b") } }.lines().first()
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/stream-once/x"])
    fun `an answer whose head is cut at any byte is answered with 502`(path: String) {
        for (head in heads) {
            for (end in listOf<Socket.() -> Unit>({ close() }, { reset() })) {
                val answered = statuses(path, head, end)
                assertEquals(emptyMap(), answered.filterValues { "502" !in it })
            }
        }
    }
}
