package org.yuccajunction.gateway

import org.yuccajunction.gateway.ScriptedServer.Companion.event
import org.yuccajunction.gateway.ScriptedServer.Companion.requestId
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs the data plane before servers whose streams have neither a length nor chunks and end with their connection. */
class CloseDelimitedStreamTest {
    private fun answers(vararg scripts: (String, Socket) -> Unit): Pair<String, Int> {
        val servers = scripts.map { ScriptedServer(it) }
        return GatewayFixture(*servers.toTypedArray()).use { fixture ->
            val answered = fixture.exchange("/stream/")
            servers.forEach { it.close() }
            answered to servers.sumOf { it.requests.size }
        }
    }

    private fun head(request: String) = "HTTP/1.1 200 OK\r\nid: ${requestId(request)}\r\nsignature: s\r\n\r\n"

    /** Sends [bytes] as the body the first time, and the events up to the third one from then on. */
    private fun brokenOnce(bytes: String): Array<(String, Socket) -> Unit> {
        var isFirst = true
        val script = { request: String, connection: Socket ->
            val resumedAfter = request.lines().firstOrNull { it.startsWith("last-event:") }?.substringAfter(':')?.trim()
            val rest = ((resumedAfter?.toInt() ?: 0) + 1..3).joinToString("") { event(it) }
            connection.send(head(request) + if (isFirst) bytes else rest)
            isFirst = false
            connection.close()
        }
        return arrayOf(script, script)
    }

    @Test
    fun `a stream that ends after a whole event is complete`() {
        val (answered, requests) = answers({ request, connection ->
            connection.send(head(request) + event(1) + event(2))
            connection.close()
        })
        assertContains(answered, "piece 2")
        assertTrue(answered.endsWith("0\r\n\r\n"), answered)
        assertEquals(1, requests)
    }

    /** Guards against a stream that looks complete though its server broke it off within an event. */
    @Test
    fun `a stream that ends inside an event resumes at another server`() {
        val (answered, requests) = answers(*brokenOnce(event(1) + event(2).dropLast(4)))
        assertEquals(listOf("1", "2", "3"), Regex("piece (\\d)").findAll(answered).map { it.groupValues[1] }.toList())
        assertEquals(2, requests)
    }

    /** Guards against an empty stream that looks complete though its server ended before the first event. */
    @Test
    fun `a stream that ends before its first event is sent to another server`() {
        val (answered, requests) = answers(*brokenOnce(""))
        assertEquals(listOf("1", "2", "3"), Regex("piece (\\d)").findAll(answered).map { it.groupValues[1] }.toList())
        assertEquals(2, requests)
    }
}
