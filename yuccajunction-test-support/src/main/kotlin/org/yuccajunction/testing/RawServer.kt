package org.yuccajunction.testing

import org.yuccajunction.model.Endpoint
import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Plays a server on loopback that writes what [script] says, be it an answer or not, once it has the head of a request.
 *
 * @param receiveBufferBytes size of the receive buffers of connections, null for the system's default
 */
public class RawServer(
    receiveBufferBytes: Int? = null,
    private val script: RawServer.(head: String, connection: Socket) -> Unit,
) : Closeable {
    private val listener =
        ServerSocket().apply {
            receiveBufferBytes?.let { receiveBufferSize = it }
            bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)
        }

    /** Address of the server. */
    public val endpoint: Endpoint = Endpoint(InetAddress.getLoopbackAddress().hostAddress, listener.localPort)

    /** Number of bytes that connections have taken from [sendEndless]. */
    public val sentBytes: AtomicLong = AtomicLong()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val connection = accept() ?: break
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
        try {
            connection.use { script(readHead(it), it) }
        } catch (_: IOException) {
            // The client has closed the connection, which the test sees by what its call returns.
        }
    }

    private fun readHead(connection: Socket): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = connection.getInputStream().read()
            if (byte < 0) throw IOException("the connection ended within a head")
            head.append(byte.toChar())
        }
        return head.toString()
    }

    /** Sends [text], of which each character is one byte. */
    public fun send(connection: Socket, text: String) {
        connection.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        connection.getOutputStream().flush()
    }

    /** Sends [rest] again and again until the connection ends or the time is over. */
    public fun sendEndless(connection: Socket, rest: String) {
        val bytes = rest.repeat(maxOf(1, BLOCK_BYTES / rest.length)).toByteArray(Charsets.ISO_8859_1)
        val deadline = TimeSource.Monotonic.markNow() + ENDLESS_TIME
        while (deadline.hasNotPassedNow() && !listener.isClosed) {
            connection.getOutputStream().write(bytes)
            sentBytes.addAndGet(bytes.size.toLong())
        }
    }

    /** Ends [connection] with a TCP reset. */
    public fun reset(connection: Socket) {
        connection.setSoLinger(true, 0)
        connection.close()
    }

    override fun close() {
        listener.close()
    }

    private companion object {
        const val BACKLOG = 100
        const val BLOCK_BYTES = 16_384
        val ENDLESS_TIME = 4.seconds
    }
}
