package org.yuccajunction.integration

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Finds free ports below the range from which the system assigns ports to outgoing connections. */
object FreePorts {
    private const val FIRST = 15_000
    private const val COUNT = 15_000
    private val next = AtomicInteger(Random.nextInt(COUNT))

    /** Returns a free port; this JVM returns a port again only after trying the whole range. */
    fun next(): Int =
        generateSequence { FIRST + next.getAndIncrement().mod(COUNT) }.first { isFree(it) }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
