package org.yuccajunction.gateway

import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Sends bytes without end, for [time] at most, and counts those that the connection has taken in [sent]. */
internal class EndlessBytes(private val sent: AtomicLong, private val time: Duration = 3.seconds) {
    /** Sends [start] and then [rest] again and again until [connection] ends or the time is over. */
    fun send(connection: Socket, start: String, rest: String) {
        val bytes = rest.repeat(maxOf(1, BLOCK_BYTES / rest.length)).toByteArray()
        val deadline = TimeSource.Monotonic.markNow() + time
        connection.send(start)
        try {
            while (deadline.hasNotPassedNow()) {
                connection.getOutputStream().write(bytes)
                sent.addAndGet(bytes.size.toLong())
            }
        } catch (_: IOException) {
            // The other side has closed the connection, which is what tests wait for.
        }
    }

    private companion object {
        const val BLOCK_BYTES = 16_384
    }
}
