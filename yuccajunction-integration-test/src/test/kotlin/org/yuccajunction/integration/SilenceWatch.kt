package org.yuccajunction.integration

import java.io.InputStream
import java.time.Duration
import kotlin.concurrent.thread

/** Closes [stream] when nothing was heard on it for [silence]. */
class SilenceWatch(private val stream: InputStream, private val silence: Duration) : AutoCloseable {
    @Volatile
    private var heardAt = System.nanoTime()

    private val watcher = thread(isDaemon = true, name = "silence-watch") { watch() }

    /** Notes that the stream is alive. */
    fun heard() {
        heardAt = System.nanoTime()
    }

    override fun close() {
        watcher.interrupt()
        stream.close()
    }

    private fun watch() {
        try {
            while (System.nanoTime() - heardAt < silence.toNanos()) Thread.sleep(PAUSE_MILLIS)
            stream.close()
        } catch (_: InterruptedException) {
            return
        }
    }

    private companion object {
        const val PAUSE_MILLIS = 100L
    }
}
