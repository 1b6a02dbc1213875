package org.yuccajunction.entry

import org.yuccajunction.model.Endpoint
import java.net.InetSocketAddress
import java.net.ServerSocket

/**
 * Holds a port until the server that will listen on it is about to start.
 *
 * An entry tells its addresses to others before its servers listen, so that a port of 0 must be resolved early.
 *
 * @property endpoint the address with the port that will be used
 */
public class PortReservation private constructor(private val socket: ServerSocket, public val endpoint: Endpoint) {
    /** Frees the port for the server and returns its address. */
    public fun release(): Endpoint {
        socket.close()
        return endpoint
    }

    public companion object {
        /** Reserves [endpoint], or any free port where its port is 0; fails where the port is taken. */
        public fun of(endpoint: Endpoint): PortReservation {
            val socket = ServerSocket()
            socket.reuseAddress = true
            socket.bind(InetSocketAddress(endpoint.host, endpoint.port))
            return PortReservation(socket, endpoint.copy(port = socket.localPort))
        }
    }
}
