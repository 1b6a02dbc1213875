package org.yuccajunction.entry

import org.yuccajunction.model.Endpoint
import java.net.InetSocketAddress
import java.net.ServerSocket

/**
 * Reserves a port until the server that will listen on it is about to start.
 *
 * An entry announces its addresses before its servers listen, so port 0 has to be resolved to a free port early.
 *
 * @property endpoint address with the reserved port
 */
public class PortReservation private constructor(private val socket: ServerSocket, public val endpoint: Endpoint) {
    /** Releases the port for the server; returns its address. */
    public fun release(): Endpoint {
        socket.close()
        return endpoint
    }

    public companion object {
        /** Reserves the port of [endpoint], or any free port if it is 0; fails if the port is in use. */
        public fun of(endpoint: Endpoint): PortReservation {
            val socket = ServerSocket()
            socket.reuseAddress = true
            socket.bind(InetSocketAddress(endpoint.host, endpoint.port))
            return PortReservation(socket, endpoint.copy(port = socket.localPort))
        }
    }
}
