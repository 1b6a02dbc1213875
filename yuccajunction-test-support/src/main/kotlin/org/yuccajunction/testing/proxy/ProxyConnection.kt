package org.yuccajunction.testing.proxy

import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean

/** One connection through the fault proxy; [server] is null where it leads nowhere. */
internal class ProxyConnection(
    private val route: ProxyRoute,
    private val client: Socket,
    private val server: Socket?,
) {
    private val isClosed = AtomicBoolean()

    /** Whether data is swallowed in both directions and an end of one side is kept from the other. */
    @Volatile
    var isSilent = false

    val faults: ProxyFaults get() = route.faults

    fun start() {
        val target = checkNotNull(server) { "the connection leads nowhere" }
        client.tcpNoDelay = true
        target.tcpNoDelay = true
        ProxyPump(this, client, target, toTarget = true).start()
        ProxyPump(this, target, client, toTarget = false).start()
    }

    /** Cuts the connection because of its number of bytes, unless enough others were cut before. */
    fun cutIfAllowed(): Boolean {
        if (!route.consumeCut()) return false
        if (faults.silentAfterCut) isSilent = true else close(faults.cutByReset)
        return true
    }

    fun close(reset: Boolean) {
        if (!isClosed.compareAndSet(false, true)) return
        listOfNotNull(client, server).forEach { socket ->
            if (reset) socket.setSoLinger(true, 0)
            socket.close()
        }
        route.removeConnection(this)
    }
}
