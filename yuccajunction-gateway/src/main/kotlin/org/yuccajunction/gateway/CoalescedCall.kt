package org.yuccajunction.gateway

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Runs [action] once for all requests that come within [delayMillis]; confined to one event loop. */
internal class CoalescedCall(private val delayMillis: Long, private val action: () -> Unit) {
    private var isScheduled = false

    /** Runs the action on [loop] after the delay, unless it is about to run already. */
    fun request(loop: EventLoop) {
        if (isScheduled) return
        isScheduled = true
        loop.schedule(::run, delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun run() {
        isScheduled = false
        action()
    }
}
