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

/**
 * A listening port of the fault proxy and the connections through the port.
 *
 * Connections are closed immediately while [target] is null.
 */
public class ProxyRoute(
    port: Int,
    @Volatile public var target: Endpoint?,
    private val address: InetAddress = InetAddress.getLoopbackAddress(),
) {
    private var listener = ServerSocket(port, BACKLOG, address)
    private val connections: MutableSet<ProxyConnection> = ConcurrentHashMap.newKeySet()
    private val accepted = AtomicInteger()

    @Volatile
    public var faults: ProxyFaults = ProxyFaults()

    public val port: Int = listener.localPort

    /** Number of connections accepted since the start. */
    public val acceptedConnections: Int get() = accepted.get()

    /** Number of open connections. */
    public val openConnections: Int get() = connections.size

    /** Starts to accept connections. */
    public fun start() {
        val current = synchronized(this) { listener }
        thread(isDaemon = true, name = "route-$port") {
            try {
                while (true) accept(current.accept())
            } catch (_: IOException) {
                // [refuseConnections] closed the listener.
            }
        }
    }

    /** Has the system refuse new connections until [acceptConnections]; open ones are not affected. */
    @Synchronized
    public fun refuseConnections() {
        listener.close()
    }

    /** Accepts new connections again after [refuseConnections]. */
    @Synchronized
    public fun acceptConnections() {
        if (!listener.isClosed) return
        listener = ServerSocket(port, BACKLOG, address)
        start()
    }

    /** Closes all connections of this route, with a TCP reset if [reset] is set. */
    public fun closeConnections(reset: Boolean): Unit = connections.forEach { it.close(reset) }

    /** Drops all further data of the open connections; new connections are not affected. */
    public fun silenceConnections(): Unit = connections.forEach { it.isSilent = true }

    /** Returns whether a connection at its byte limit is to be cut, and reduces the number of cuts left. */
    @Synchronized
    internal fun consumeCut(): Boolean {
        val remaining = faults.remainingCuts ?: return true
        if (remaining > 0) faults = faults.copy(remainingCuts = remaining - 1)
        return remaining > 0
    }

    internal fun removeConnection(connection: ProxyConnection) {
        connections -= connection
    }

    private fun accept(client: Socket) {
        accepted.incrementAndGet()
        val currentTarget = target
        when {
            faults.resetNew -> ProxyConnection(this, client, null).close(reset = true)
            faults.refuseNew || currentTarget == null -> client.close()
            faults.hangNew -> connections += ProxyConnection(this, client, null).also { it.isSilent = true }
            else -> thread(isDaemon = true, name = "connect-$port") { connect(client, currentTarget) }
        }
    }

    private fun connect(client: Socket, currentTarget: Endpoint) {
        try {
            val server = Socket()
            server.connect(InetSocketAddress(currentTarget.host, currentTarget.port), CONNECT_TIMEOUT_MILLIS)
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
