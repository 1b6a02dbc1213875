package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

/**
 * The memory that the bodies of one connection's requests hold, in the order of the requests.
 *
 * A body whose length is named takes all of it with the request's head: what finds no room is rejected unread.
 */
internal class HeldBodies(private val memory: RequestMemory, private val maxBodyBytes: Int) {
    private var partialReceived = 0
    private var partialHeld = 0
    private val whole = ArrayDeque<Int>()

    /** Takes the memory that [message] needs; returns false where there is none. */
    fun add(message: HttpObject): Boolean {
        val hasHead = message !is HttpRequest || hold(namedLength(message))
        return hasHead && (message !is HttpContent || addReceived(message.content().readableBytes()))
    }

    /** Returns the length that [request] names for its body, 0 where it names none or one that is rejected later. */
    private fun namedLength(request: HttpRequest): Int =
        HttpUtil.getContentLength(request, 0L).takeIf { it in 0..maxBodyBytes }?.toInt() ?: 0

    private fun addReceived(bytes: Int): Boolean {
        partialReceived += bytes
        return hold(maxOf(0, partialReceived - partialHeld))
    }

    private fun hold(bytes: Int): Boolean {
        if (!memory.tryTake(bytes, partialHeld + bytes)) return false
        partialHeld += bytes
        return true
    }

    /** Records that the request that is being received is whole. */
    fun requestWhole() {
        whole.addLast(partialHeld)
        partialHeld = 0
        partialReceived = 0
    }

    /** Gives back what the request that is being received holds. */
    fun dropPartial() {
        memory.giveBack(partialHeld)
        partialHeld = 0
        partialReceived = 0
    }

    /** Gives back what the oldest whole request holds, which was answered. */
    fun requestAnswered() {
        whole.removeFirstOrNull()?.let(memory::giveBack)
    }

    /** Gives back all, since the connection has ended. */
    fun dropAll() {
        dropPartial()
        while (whole.isNotEmpty()) requestAnswered()
    }
}
