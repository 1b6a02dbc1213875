package org.yuccajunction.testing.proxy

import org.yuccajunction.model.Endpoint
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** One listening port of the fault proxy and the connections through it. */
public class ProxyRoute(port: Int, @Volatile public var target: Endpoint?) {
    private val listener = ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections: MutableSet<ProxyConnection> = ConcurrentHashMap.newKeySet()
    private val accepted = AtomicInteger()

    @Volatile
    public var faults: ProxyFaults = ProxyFaults()

    public val port: Int get() = listener.localPort

    /** Connections accepted since the start. */
    public val acceptedConnections: Int get() = accepted.get()

    /** Connections open now. */
    public val openConnections: Int get() = connections.size

    /** Begins to take connections. */
    public fun start() {
        thread(isDaemon = true, name = "route-$port") {
            while (true) {
                open(listener.accept())
            }
        }
    }

    /** Ends every connection through this route. */
    public fun cut(reset: Boolean): Unit = connections.forEach { it.close(reset) }

    /** Lets every open connection go silent for good; new ones work. */
    public fun silence(): Unit = connections.forEach { it.silent = true }

    /** Counts a connection as cut after a number of bytes; returns whether it is to be cut. */
    @Synchronized
    internal fun takeCut(): Boolean {
        val remaining = faults.remainingCuts ?: return true
        if (remaining > 0) faults = faults.copy(remainingCuts = remaining - 1)
        return remaining > 0
    }

    internal fun forget(connection: ProxyConnection) {
        connections -= connection
    }

    private fun open(client: Socket) {
        accepted.incrementAndGet()
        val reached = target
        when {
            faults.refuseNew || reached == null -> client.close()
            faults.hangNew -> connections += ProxyConnection(this, client, null).also { it.silent = true }
            else -> thread(isDaemon = true, name = "connect-$port") { connect(client, reached) }
        }
    }

    private fun connect(client: Socket, reached: Endpoint) {
        try {
            val server = Socket()
            server.connect(InetSocketAddress(reached.host, reached.port), CONNECT_TIMEOUT_MILLIS)
            val connection = ProxyConnection(this, client, server)
            connections += connection
            connection.start()
        } catch (_: IOException) {
            client.close()
        }
    }

    private companion object {
        const val BACKLOG = 256
        const val CONNECT_TIMEOUT_MILLIS = 2_000
    }
}
