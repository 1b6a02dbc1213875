package org.yuccajunction.gateway

import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Plays a server behind a link that holds bytes up: it reads a request only when its client has given it up.
 *
 * Its receive buffer is small, so that most of a long request waits in the client's system until then.
 */
class LateReader(private val readsAfterMillis: Long) {
    private val arrived = CompletableFuture<Int>()
    val server = ScriptedServer(BUFFER_BYTES, ::readLate) { _, _ -> }

    private fun readLate(connection: Socket): String? {
        Thread.sleep(readsAfterMillis)
        arrived.complete(countBytes(connection))
        return null
    }

    private fun countBytes(connection: Socket): Int {
        var count = 0
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val read = connection.getInputStream().read(buffer)
                if (read < 0) return count
                count += read
            }
        } catch (_: IOException) {
            return count
        }
    }

    /** Waits for the end of the first connection and returns the number of bytes that have arrived on it. */
    fun arrivedBytes(): Int = arrived.get(WAIT_SECONDS, TimeUnit.SECONDS)

    private companion object {
        const val BUFFER_BYTES = 4_096
        const val WAIT_SECONDS = 20L
    }
}
