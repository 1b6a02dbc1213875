package org.yuccajunction.testing.proxy

import java.io.IOException
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/** Carries the data of one direction of one connection. */
internal class ProxyPump(
    private val connection: ProxyConnection,
    private val from: Socket,
    private val to: Socket,
    private val toTarget: Boolean,
) {
    private class Piece(val dueNanos: Long, val bytes: ByteArray?)

    private val pieces = LinkedBlockingQueue<Piece>(QUEUED_PIECES)
    private val random = Random(from.port)
    private var passed = 0L
    private var cutIsOff = false

    fun start() {
        thread(isDaemon = true, name = "read") { guarded(::readAll) }
        thread(isDaemon = true, name = "write") { guarded(::writeAll) }
    }

    private fun guarded(step: () -> Unit) {
        try {
            step()
        } catch (_: IOException) {
            if (!connection.silent) connection.close(reset = false)
        }
    }

    private fun readAll() {
        val buffer = ByteArray(PIECE_BYTES)
        while (true) {
            val count = from.getInputStream().read(buffer)
            pieces.put(Piece(System.nanoTime() + delayNanos(), if (count < 0) null else buffer.copyOf(count)))
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
            val piece = pieces.take()
            sleepNanos(piece.dueNanos - System.nanoTime())
            val bytes = piece.bytes
            if (bytes == null) {
                if (!connection.silent) to.shutdownOutput()
                return
            }
            if (!pass(bytes)) return
        }
    }

    private fun pass(bytes: ByteArray): Boolean {
        val faults = connection.faults
        val isDropped = if (toTarget) faults.dropToTarget else faults.dropToClient
        if (isDropped || connection.silent) return true
        val limit = if (toTarget) faults.cutAfterBytesToTarget else faults.cutAfterBytesToClient
        val allowed = if (limit == null || cutIsOff) bytes.size.toLong() else limit - passed
        if (allowed >= bytes.size) {
            write(bytes, bytes.size, faults.bytesPerSecond)
            return true
        }
        val before = allowed.coerceAtLeast(0).toInt()
        write(bytes, before, faults.bytesPerSecond)
        if (connection.cutAfterBytes()) return false
        cutIsOff = true
        write(bytes.copyOfRange(before, bytes.size), bytes.size - before, faults.bytesPerSecond)
        return true
    }

    private fun write(bytes: ByteArray, count: Int, bytesPerSecond: Int?) {
        val step = if (bytesPerSecond == null) count else 1
        var done = 0
        while (done < count) {
            val size = minOf(step, count - done)
            to.getOutputStream().write(bytes, done, size)
            done += size
            if (bytesPerSecond != null) sleepNanos(NANOSECONDS_IN_SECOND / bytesPerSecond)
        }
        passed += count
    }

    private fun sleepNanos(nanos: Long) {
        if (nanos > 0) Thread.sleep(nanos / NANOSECONDS_IN_MILLISECOND, (nanos % NANOSECONDS_IN_MILLISECOND).toInt())
    }

    private companion object {
        const val PIECE_BYTES = 16_384
        const val QUEUED_PIECES = 256
        const val NANOSECONDS_IN_MILLISECOND = 1_000_000L
        const val NANOSECONDS_IN_SECOND = 1_000_000_000L
    }
}
