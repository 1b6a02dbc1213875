package org.yuccajunction.gateway

import io.netty.channel.ChannelFuture

/**
 * Limits the connections that are being opened at once while the event loop [isLate].
 *
 * Without a limit, the connections for a backlog of requests complete together, and the loop is late again.
 */
internal class ConnectionPacer(private val isLate: () -> Boolean) {
    private class Waiting(val isWanted: () -> Boolean, val open: () -> ChannelFuture)

    private val waiting = ArrayDeque<Waiting>()
    private var opening = 0

    /** Calls [open] now or later, unless the connection no longer [isWanted] by then. */
    fun open(isWanted: () -> Boolean, open: () -> ChannelFuture) {
        if (opening >= MAX_OPENING_WHILE_LATE && isLate()) {
            waiting.addLast(Waiting(isWanted, open))
        } else {
            begin(open)
        }
    }

    private fun begin(open: () -> ChannelFuture) {
        opening += 1
        open().addListener {
            opening -= 1
            openWaiting()
        }
    }

    private fun openWaiting() {
        while (waiting.isNotEmpty() && (opening < MAX_OPENING_WHILE_LATE || !isLate())) {
            val next = waiting.removeFirst()
            if (next.isWanted()) begin(next.open)
        }
    }

    private companion object {
        /** Enough for the connections to open in parallel; a connection on one network opens within a few turns. */
        const val MAX_OPENING_WHILE_LATE = 16
    }
}
