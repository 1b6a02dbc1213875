package org.yuccajunction.testing.proxy

import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean

/** A connection through the fault proxy; [server] is null if the proxy never connects to a target. */
internal class ProxyConnection(
    private val route: ProxyRoute,
    private val client: Socket,
    private val server: Socket?,
) {
    private val isClosed = AtomicBoolean()

    /** Whether the proxy drops data in both directions and hides the close of one side from the other. */
    @Volatile
    var isSilent = false

    val faults: ProxyFaults get() = route.faults

    /** Starts to forward data in both directions. */
    fun start() {
        val target = checkNotNull(server) { "the connection has no server socket to forward to" }
        client.tcpNoDelay = true
        target.tcpNoDelay = true
        ProxyPump(this, client, target, toTarget = true).start()
        ProxyPump(this, target, client, toTarget = false).start()
    }

    /** Cuts the connection at its byte limit; returns false if the route has no cuts left. */
    fun cutIfAllowed(): Boolean {
        if (!route.consumeCut()) return false
        if (faults.silentAfterCut) isSilent = true else close(faults.cutByReset)
        return true
    }

    /** Closes both sockets, with a TCP reset if [reset] is set. */
    fun close(reset: Boolean) {
        if (!isClosed.compareAndSet(false, true)) return
        listOfNotNull(client, server).forEach { socket ->
            if (reset) socket.setSoLinger(true, 0)
            socket.close()
        }
        route.removeConnection(this)
    }
}
