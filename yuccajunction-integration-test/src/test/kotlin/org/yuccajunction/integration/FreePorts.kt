package org.yuccajunction.integration

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/**
 * Finds free ports below the range from which the system assigns ports to outgoing connections.
 *
 * Ports are taken from blocks that this JVM has locked until it ends: a port that another JVM has found free, but not
 * bound yet, must not be returned here too.
 */
object FreePorts {
    private const val FIRST = 15_000
    private const val BLOCKS = 100
    private const val BLOCK_PORTS = 50
    private val lockFile =
        FileChannel.open(
            Path.of(System.getProperty("java.io.tmpdir"), "yuccajunction-test-ports"),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
        )
    private val locks = ArrayList<FileLock>()
    private var candidates = 0

    /** Returns a free port; this JVM returns a port again only after trying all ports of its blocks. */
    @Synchronized
    fun next(): Int = generateSequence(::nextCandidate).first(::isFree)

    private fun nextCandidate(): Int {
        val index = candidates++
        val block = index / BLOCK_PORTS
        if (block == locks.size) lockFreeBlock()?.let { locks += it }
        check(locks.isNotEmpty()) { "all $BLOCKS blocks of ports from $FIRST on are locked by other JVMs" }
        return FIRST + locks[block % locks.size].position().toInt() * BLOCK_PORTS + index % BLOCK_PORTS
    }

    private fun lockFreeBlock(): FileLock? {
        val locked = locks.map { it.position() }
        return (0L until BLOCKS).filterNot { it in locked }.firstNotNullOfOrNull { lockFile.tryLock(it, 1, false) }
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
