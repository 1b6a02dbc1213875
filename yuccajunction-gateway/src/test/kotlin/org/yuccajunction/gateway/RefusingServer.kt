package org.yuccajunction.gateway

import java.io.Closeable
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket

/**
 * A server whose port refuses connections.
 *
 * It holds the port by a socket that does not listen, so that no listener of the same test can get it.
 */
class RefusingServer :
    LoopbackServer,
    Closeable {
    private val holder = Socket().apply { bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0)) }
    override val port: Int get() = holder.localPort

    override fun close() = holder.close()
}
