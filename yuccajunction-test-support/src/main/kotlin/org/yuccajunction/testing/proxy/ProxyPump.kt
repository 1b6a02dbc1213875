package org.yuccajunction.testing.proxy

import java.io.IOException
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/** Forwards the data of one direction of a connection and applies the faults of the route. */
internal class ProxyPump(
    private val connection: ProxyConnection,
    private val from: Socket,
    private val to: Socket,
    private val toTarget: Boolean,
) {
    /** Data to be written at [dueNanos]; null [bytes] mark the end of the data. */
    private class Chunk(val dueNanos: Long, val bytes: ByteArray?)

    private val chunks = LinkedBlockingQueue<Chunk>(MAXIMUM_QUEUED_CHUNKS)
    private val random = Random(from.port)
    private var bytesForwarded = 0L
    private var isCutSkipped = false

    /** Starts the thread that reads and the thread that writes. */
    fun start() {
        thread(isDaemon = true, name = "read") { closeOnFailure(::readAll) }
        thread(isDaemon = true, name = "write") { closeOnFailure(::writeAll) }
    }

    private fun closeOnFailure(transfer: () -> Unit) {
        try {
            transfer()
        } catch (_: IOException) {
            if (!connection.isSilent) connection.close(reset = false)
        }
    }

    private fun readAll() {
        val buffer = ByteArray(CHUNK_BYTES)
        while (true) {
            val count = from.getInputStream().read(buffer)
            chunks.put(Chunk(System.nanoTime() + delayNanos(), if (count < 0) null else buffer.copyOf(count)))
            if (count < 0) return
        }
    }

    private fun delayNanos(): Long {
        val faults = connection.faults
        val jitter = if (faults.jitterMillis > 0) random.nextDouble(faults.jitterMillis) else 0.0
        return ((faults.delayMillis + jitter) * NANOSECONDS_IN_MILLISECOND).toLong()
    }

    private fun writeAll() {
        while (true) {
            val chunk = chunks.take()
            sleepNanos(chunk.dueNanos - System.nanoTime())
            val bytes = chunk.bytes
            if (bytes == null) {
                if (!connection.isSilent) to.shutdownOutput()
                return
            }
            if (!forward(bytes)) return
        }
    }

    /** Forwards [bytes] up to the byte limit; returns false if the connection was cut. */
    private fun forward(bytes: ByteArray): Boolean {
        val faults = connection.faults
        val isDropped = if (toTarget) faults.dropToTarget else faults.dropToClient
        if (isDropped || connection.isSilent) return true
        val limit = if (toTarget) faults.cutAfterBytesToTarget else faults.cutAfterBytesToClient
        val bytesAllowed = if (limit == null || isCutSkipped) bytes.size.toLong() else limit - bytesForwarded
        if (bytesAllowed >= bytes.size) {
            write(bytes, bytes.size, faults.bytesPerSecond)
            return true
        }
        val bytesBeforeCut = bytesAllowed.coerceAtLeast(0).toInt()
        write(bytes, bytesBeforeCut, faults.bytesPerSecond)
        if (connection.cutIfAllowed()) return false
        isCutSkipped = true
        write(bytes.copyOfRange(bytesBeforeCut, bytes.size), bytes.size - bytesBeforeCut, faults.bytesPerSecond)
        return true
    }

    private fun write(bytes: ByteArray, count: Int, bytesPerSecond: Int?) {
        val sliceBytes = if (bytesPerSecond == null) count else 1
        var written = 0
        while (written < count) {
            val size = minOf(sliceBytes, count - written)
            to.getOutputStream().write(bytes, written, size)
            written += size
            if (bytesPerSecond != null) sleepNanos(NANOSECONDS_IN_SECOND / bytesPerSecond)
        }
        bytesForwarded += count
    }

    private fun sleepNanos(nanos: Long) {
        if (nanos > 0) Thread.sleep(nanos / NANOSECONDS_IN_MILLISECOND, (nanos % NANOSECONDS_IN_MILLISECOND).toInt())
    }

    private companion object {
        const val CHUNK_BYTES = 16_384
        const val MAXIMUM_QUEUED_CHUNKS = 256
        const val NANOSECONDS_IN_MILLISECOND = 1_000_000L
        const val NANOSECONDS_IN_SECOND = 1_000_000_000L
    }
}
