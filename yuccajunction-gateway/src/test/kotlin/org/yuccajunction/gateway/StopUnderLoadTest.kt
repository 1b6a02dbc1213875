package org.yuccajunction.gateway

import org.yuccajunction.gateway.GatewayFixture.Companion.readAll
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.answer
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Requests that were accepted before or during a graceful stop must not be cut off without an answer. */
class StopUnderLoadTest {
    private fun withServer(test: (GatewayFixture) -> Unit) =
        ScriptedServer { request, connection ->
            Thread.sleep(100)
            connection.send(answer(request, "whole"))
        }.use { server -> GatewayFixture(server).use(test) }

    private fun kept(id: String) = request("/once/x", body = "b", id = id).replace("close", "keep-alive")

    /** Guards against an answer that ends the connection while further requests of the caller wait on it. */
    @Test
    fun `all requests that a caller has pipelined are answered`() =
        withServer { fixture ->
            val caller = fixture.connect()
            caller.send(kept("r1") + kept("r2") + kept("r3"))
            Thread.sleep(50)
            fixture.onLoop { fixture.dataPlane.stop() }
            val answers = readAll(caller)
            assertEquals(3, "200 OK".toRegex().findAll(answers).count(), answers)
            assertEquals(1, "connection: close".toRegex().findAll(answers).count(), answers)
        }

    /** Guards against an answer that is cut while a caller on a slow link still reads it. */
    @Test
    fun `a stop waits for an answer that is still being written`() {
        val whole = "w".repeat(8_000_000)
        ScriptedServer { request, connection -> connection.send(answer(request, whole)) }.use { server ->
            GatewayFixture(server).use { fixture ->
                fixture.connect().use { caller ->
                    caller.send(kept("r1"))
                    Thread.sleep(300)
                    fixture.onLoop { fixture.dataPlane.stop() }
                    Thread.sleep(1_500)
                    fixture.onLoop { assertTrue(fixture.dataPlane.hasOpenRequests) }
                    ScriptedServer.readHead(caller)
                    assertEquals(whole.length, caller.getInputStream().readNBytes(whole.length).size)
                    fixture.onLoop { assertFalse(fixture.dataPlane.hasOpenRequests) }
                }
            }
        }
    }

    /** Guards against an exit while a request has been read but not yet admitted, or not read to its end. */
    @Test
    fun `a stop waits for requests that are not yet forwarded`() =
        withServer { fixture ->
            fixture.onLoop { assertFalse(fixture.dataPlane.hasOpenRequests) }
            val caller = fixture.connect()
            val whole = kept("r1")
            caller.send(whole.dropLast(1))
            Thread.sleep(50)
            fixture.onLoop { assertTrue(fixture.dataPlane.hasOpenRequests) }
            fixture.onLoop { fixture.dataPlane.stop() }
            caller.send(whole.takeLast(1))
            assertContains(readAll(caller), "200 OK")
            fixture.onLoop { assertFalse(fixture.dataPlane.hasOpenRequests) }
        }

    /** Guards against a reset of connections that the kernel has accepted and the entry has not. */
    @Test
    fun `connections in the accept queue are answered before the listening socket closes`() =
        withServer { fixture ->
            val released = CountDownLatch(1)
            fixture.dataPlane.loop.execute { released.await(5, TimeUnit.SECONDS) }
            val callers = List(45) { index -> fixture.connect().also { it.send(request("/once/x", id = "r$index")) } }
            fixture.dataPlane.loop.execute {
                fixture.dataPlane.stop()
                fixture.closeListener()
            }
            released.countDown()
            val answers = callers.map(::readAll)
            assertEquals(emptyList(), answers.filterNot { it.startsWith("HTTP/1.1 ") })
        }
}
