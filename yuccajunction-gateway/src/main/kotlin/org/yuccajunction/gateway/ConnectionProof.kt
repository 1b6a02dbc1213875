package org.yuccajunction.gateway

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.relay.ServiceReachability

/**
 * Finds out whether one connection to [server] proves that the server is in contact.
 *
 * A connection that has carried a request may have ended because of it, so that its end says nothing about the links.
 */
internal class ConnectionProof(private val dataPlane: DataPlane, private val server: BackendServer) {
    private var openedAt: MonotonicTime? = null
    private var hasCarriedRequest = false
    private var isDecided = false

    /** Records that the connection has opened. */
    fun opened() {
        openedAt = dataPlane.now().also { dataPlane.relays.recordConnection(server, it) }
    }

    fun requestSent() {
        hasCarriedRequest = true
    }

    /** Records that the connection had ended before the request could leave. */
    fun requestNotSent() {
        hasCarriedRequest = false
        ended()
    }

    /** Records that the server has sent something. */
    fun received() = decide()

    /** Records that the connection has stayed open for [ServiceReachability.SETTLING_TIME]. */
    fun settled() {
        if (!hasCarriedRequest) decide()
    }

    private fun decide() {
        val since = openedAt
        if (isDecided || since == null) return
        isDecided = true
        dataPlane.relays.recordProof(server, since)
    }

    /** Records that the connection was ended, not by this entry. */
    fun ended() {
        val since = openedAt
        if (isDecided || since == null) return
        isDecided = true
        val hasSettled = dataPlane.now() - since >= ServiceReachability.SETTLING_TIME
        if (!hasCarriedRequest && !hasSettled) dataPlane.relays.recordReset(server)
    }

    /** Records that this entry closes the connection, whose end says nothing then. */
    fun closing() {
        isDecided = true
    }
}
