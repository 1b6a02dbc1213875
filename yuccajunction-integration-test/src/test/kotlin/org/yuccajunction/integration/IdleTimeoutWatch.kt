package org.yuccajunction.integration

import java.io.InputStream
import java.time.Duration
import kotlin.concurrent.thread

/** Closes [stream] when nothing was read from it for [idleTimeout]. */
class IdleTimeoutWatch(private val stream: InputStream, private val idleTimeout: Duration) : AutoCloseable {
    @Volatile
    private var lastActivityNanos = System.nanoTime()

    private val watcher = thread(isDaemon = true, name = "idle-timeout-watch") { watch() }

    /** Restarts the timeout; the reader calls this after each token. */
    fun recordActivity() {
        lastActivityNanos = System.nanoTime()
    }

    override fun close() {
        watcher.interrupt()
        stream.close()
    }

    private fun watch() {
        try {
            while (System.nanoTime() - lastActivityNanos < idleTimeout.toNanos()) Thread.sleep(CHECK_INTERVAL_MILLIS)
            stream.close()
        } catch (_: InterruptedException) {
            return
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 100L
    }
}
