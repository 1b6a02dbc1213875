package org.yuccajunction.gateway

import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Runs the data plane before a server that asks for pauses in answers that are not passed on. */
class PausedServerGatewayTest {
    private fun answer(request: String) =
        "HTTP/1.1 200 OK\r\nid: ${requestId(request)}\r\nsignature: s\r\ncontent-length: 2\r\n\r\nok"

    /** Guards against a pause that is lost since its rejection arrives on the connection of another request. */
    @Test
    fun `a pause in a late answer to another request is kept`() {
        val late = "HTTP/1.1 503 Unavailable\r\nid: earlier\r\nnot-run: 1\r\npause: 30\r\ncontent-length: 0\r\n\r\n"
        val pausing = ScriptedServer { request, connection -> connection.send(late + answer(request)) }
        GatewayFixture(pausing).use { fixture ->
            assertContains(fixture.exchange("/safe/"), "200 OK")
            assertContains(fixture.exchange("/safe/"), "no-capacity")
        }
        assertEquals(1, pausing.requests.size)
        pausing.close()
    }
}
