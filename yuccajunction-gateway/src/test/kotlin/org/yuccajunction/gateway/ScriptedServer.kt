package org.yuccajunction.gateway

import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Plays a backend server on loopback that answers each request with the bytes that [script] writes.
 *
 * @param receiveBufferBytes size of the receive buffers of connections, null for the system's default
 * @param readRequest reads what [script] needs of a request, or null where the connection ended
 */
class ScriptedServer(
    receiveBufferBytes: Int?,
    private val readRequest: (connection: Socket) -> String?,
    private val script: (request: String, connection: Socket) -> Unit,
) : LoopbackServer,
    Closeable {
    constructor(script: (request: String, connection: Socket) -> Unit) : this(null, ::readRequest, script)

    private val listener =
        ServerSocket().apply {
            receiveBufferBytes?.let { receiveBufferSize = it }
            bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50)
        }
    override val port: Int get() = listener.localPort
    val requests = CopyOnWriteArrayList<String>()
    val endedConnections = CopyOnWriteArrayList<Int>()
    val connections = CopyOnWriteArrayList<Socket>()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val connection = accept() ?: break
                connections += connection
                thread(isDaemon = true) { serve(connection) }
            }
        }
    }

    private fun accept(): Socket? =
        try {
            listener.accept()
        } catch (_: IOException) {
            null
        }

    private fun serve(connection: Socket) {
        val number = connections.indexOf(connection)
        try {
            while (true) {
                val request = readRequest(connection) ?: break
                requests += request
                script(request, connection)
            }
        } catch (_: IOException) {
            // The script or the gateway closed the connection; both are recorded below.
        }
        endedConnections += number
    }

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }

    companion object {
        /** Reads one request with its body; returns null where the connection ended. */
        fun readRequest(connection: Socket): String? {
            val head = readHead(connection) ?: return null
            val length =
                head.lines().firstOrNull {
                    it.startsWith("content-length:", true)
                }?.substringAfter(':')?.trim()?.toInt()
            val body = connection.getInputStream().readNBytes(length ?: 0)
            return head + String(body)
        }

        /** Reads the head of one request, not its body; returns null where the connection ended. */
        fun readHead(connection: Socket): String? {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = connection.getInputStream().read()
                if (byte < 0) return null
                head.append(byte.toChar())
            }
            return head.toString()
        }

        fun Socket.send(text: String) {
            getOutputStream().write(text.toByteArray())
            getOutputStream().flush()
        }

        /** Closes the connection with a TCP reset. */
        fun Socket.reset() {
            setSoLinger(true, 0)
            close()
        }

        fun requestId(request: String): String =
            request.lines().first { it.startsWith("id:", true) }.substringAfter(':').trim()

        /** Returns a whole answer to [request]. */
        fun answer(request: String, body: String, status: String = "200 OK", more: String = ""): String =
            "HTTP/1.1 $status\r\nid: ${requestId(request)}\r\nsignature: s\r\n$more" +
                "content-length: ${body.length}\r\n\r\n$body"

        /** Returns the status line and headers of a stream that answers [request]. */
        fun streamHead(request: String): String =
            "HTTP/1.1 200 OK\r\nid: ${requestId(request)}\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n"

        fun chunk(text: String): String = "${text.length.toString(radix = 16)}\r\n$text\r\n"

        fun event(number: Int): String = "id: $number\ndata: piece $number\n\n"
    }
}
