package org.yuccajunction.gateway

import org.yuccajunction.gateway.ScriptedServer.Companion.chunk
import org.yuccajunction.gateway.ScriptedServer.Companion.event
import org.yuccajunction.gateway.ScriptedServer.Companion.reset
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import org.yuccajunction.gateway.ScriptedServer.Companion.streamHead
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Runs the data plane before servers that end, or only reset a connection, under requests with one prompt part. */
class CrashingPromptGatewayTest {
    private fun withServers(breakUnder: (ScriptedServer, Socket) -> Unit, test: (GatewayFixture) -> Unit) {
        val servers = ArrayList<ScriptedServer>()
        repeat(SERVERS) { number ->
            servers += ScriptedServer { request, connection ->
                if (CRASHING_PART in request) return@ScriptedServer breakUnder(servers[number], connection)
                connection.send(streamHead(request) + chunk(event(1)) + "0\r\n\r\n")
            }
        }
        GatewayFixture(*servers.toTypedArray()).use(test)
        servers.forEach { it.close() }
    }

    private fun GatewayFixture.send(parts: String): String {
        val answered = exchange("/stream/", headers = "key: key-1\r\nparts: $parts\r\n")
        Thread.sleep(PAUSE_MILLIS)
        return answered
    }

    /** Guards against a prompt part that ends all servers of a service. */
    @Test
    fun `a part under which servers ended at three times is refused as not executed, other prompts are served`() =
        withServers({ server, _ -> server.close() }) { fixture ->
            repeat(3) {
                assertContains(fixture.send("first,$CRASHING_PART,own-$it"), "502")
                assertContains(fixture.send("first,other,own-$it"), "200 OK")
            }
            val refused = fixture.send("first,$CRASHING_PART,own")
            assertContains(refused, "503")
            assertContains(refused, "crashing-request")
            assertContains(fixture.send("first,other,own"), "200 OK")
        }

    /** Guards against sound prompts that are refused because connections are reset. */
    @Test
    fun `a part whose connections were reset by servers that still run is not refused`() =
        withServers({ _, connection -> connection.reset() }) { fixture ->
            val statuses = List(6) { fixture.send("first,$CRASHING_PART,own-$it").substringBefore("\r\n") }
            assertEquals(List(6) { "HTTP/1.1 502 Bad Gateway" }, statuses)
        }

    /** Guards against a call, without any prompt, that ends all servers of a service of few servers. */
    @Test
    fun `a call under which the three servers of a service ended is refused as not executed`() {
        val servers = ArrayList<ScriptedServer>()
        repeat(3) { number -> servers += ScriptedServer { _, _ -> servers[number].close() } }
        val other = ScriptedServer { _, _ -> }
        GatewayFixture(*servers.toTypedArray(), otherServer = other).use { fixture ->
            repeat(3) {
                assertContains(fixture.exchange("/once/7", body = "order"), "502")
                Thread.sleep(PAUSE_MILLIS)
            }
            assertContains(fixture.exchange("/once/7", body = "order"), "crashing-request")
            assertContains(fixture.exchange("/once/7", body = "other order"), "503")
        }
        other.close()
    }

    /** Guards against a request that is forgotten when it ends, though its server's end is found a little later. */
    @Test
    fun `a call under which servers sent an invalid answer and ended is refused when it comes again`() {
        val servers = ArrayList<ScriptedServer>()
        repeat(5) { number ->
            servers += ScriptedServer { _, connection ->
                connection.send("no answer\r\n\r\n")
                servers[number].close()
            }
        }
        GatewayFixture(*servers.toTypedArray()).use { fixture ->
            repeat(3) {
                assertContains(fixture.exchange("/once/7", body = "order"), "502")
                Thread.sleep(PAUSE_MILLIS)
            }
            assertContains(fixture.exchange("/once/7", body = "order"), "crashing-request")
        }
        servers.forEach { it.close() }
    }

    /** Guards against a stream that ends servers after some events, each time that it resumes. */
    @Test
    fun `a stream under which servers ended after an event is refused when it comes again`() =
        withServers({ server, connection ->
            connection.send(streamHead("id: r1") + chunk(event(1)))
            Thread.sleep(20)
            server.close()
        }) { fixture ->
            repeat(3) { fixture.send("first,$CRASHING_PART,own") }
            assertContains(fixture.send("first,$CRASHING_PART,own"), "crashing-request")
            val other = fixture.exchange("/stream/other", headers = "key: key-1\r\nparts: first,other,own\r\n")
            assertContains(other, "200 OK")
        }

    private companion object {
        const val CRASHING_PART = "crashing"
        const val SERVERS = 8
        const val PAUSE_MILLIS = 500L
    }
}
