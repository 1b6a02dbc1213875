package org.yuccajunction.integration

import org.yuccajunction.model.Endpoint
import org.yuccajunction.testing.proxy.ProxyFaults
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.measureTime

/** Checks the faults of the fault proxy against an echo server. */
class FaultProxyIT {
    private val processes = Processes()
    private val echo = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val route: RouteHandle

    init {
        thread(isDaemon = true) { acceptAll() }
        val process = processes.start("proxy", "org.yuccajunction.testing.proxy.FaultProxyMain", emptyList())
        val control = checkNotNull(Endpoint.parse(process.awaitLine("listening ")))
        route = ProxyHandle(process, control).route(Endpoint("127.0.0.1", echo.localPort))
    }

    private fun acceptAll() {
        try {
            while (true) serve(echo.accept())
        } catch (_: SocketException) {
            return
        }
    }

    private fun serve(socket: Socket) {
        thread(isDaemon = true) {
            try {
                socket.use { it.getInputStream().copyTo(it.getOutputStream()) }
            } catch (_: SocketException) {
                return@thread
            }
        }
    }

    private fun connect() = Socket(route.endpoint.host, route.endpoint.port).also { it.soTimeout = 2_000 }

    private fun Socket.ask(text: String): String {
        getOutputStream().write(text.toByteArray())
        return String(getInputStream().readNBytes(text.length))
    }

    @AfterTest
    fun end() {
        processes.close()
        echo.close()
    }

    @Test
    fun `data and the end of the stream pass in both directions`() {
        connect().use { socket ->
            assertEquals("hello", socket.ask("hello"))
            socket.shutdownOutput()
            assertEquals(-1, socket.getInputStream().read())
        }
    }

    @Test
    fun `a connection is closed after the set number of bytes`() {
        route.setFaults(ProxyFaults(cutAfterBytesToClient = 3, remainingCuts = 1))
        connect().use { assertEquals("hel", it.ask("hello")) }
        connect().use { assertEquals("hello", it.ask("hello")) }
    }

    @Test
    fun `an existing connection receives nothing more while a new one works`() {
        val first = connect()
        assertEquals("a", first.ask("a"))
        route.silence()
        assertFailsWith<SocketTimeoutException> { first.ask("b") }
        connect().use { assertEquals("c", it.ask("c")) }
        first.close()
    }

    @Test
    fun `a connection that is cut by a reset throws SocketException`() {
        val socket = connect()
        assertEquals("a", socket.ask("a"))
        route.cut(reset = true)
        assertFailsWith<SocketException> { socket.ask("b") }
        socket.close()
    }

    @Test
    fun `a delay applies to each direction`() {
        route.setFaults(ProxyFaults(delayMillis = 50.0))
        connect().use { socket ->
            val time = measureTime { socket.ask("hello") }
            assertTrue(time.inWholeMilliseconds >= 100, "$time")
        }
    }

    @Test
    fun `data to the client can be dropped while data to the target passes`() {
        route.setFaults(ProxyFaults(dropToClient = true))
        connect().use { assertFailsWith<SocketTimeoutException> { it.ask("hello") } }
    }
}
