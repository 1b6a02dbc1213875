package org.yuccajunction.gateway

import io.netty.channel.IoHandle
import io.netty.channel.IoHandler
import io.netty.channel.IoHandlerContext
import io.netty.channel.IoHandlerFactory
import io.netty.channel.IoRegistration
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SelectStrategy
import io.netty.channel.SelectStrategyFactory
import io.netty.channel.nio.NioIoHandler
import io.netty.util.IntSupplier
import io.netty.util.concurrent.DefaultThreadFactory
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.overload.EventLoopDelay
import java.nio.channels.spi.SelectorProvider

/** Creates the event loop of the traffic thread, whose polls are recorded in an [EventLoopDelay]. */
internal object TrafficLoop {
    fun group(delay: EventLoopDelay): MultiThreadIoEventLoopGroup {
        val strategy = SelectStrategyFactory { PollRecorder(delay) }
        val factory = NioIoHandler.newFactory(SelectorProvider.provider(), strategy)
        val recording = IoHandlerFactory { executor -> AwakeRecorder(factory.newHandler(executor), delay) }
        return MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("traffic", true), recording)
    }

    private fun now() = MonotonicTime(System.nanoTime())

    /** Polls without blocking first, which shows whether what a poll finds has waited for the event loop. */
    private class PollRecorder(private val delay: EventLoopDelay) : SelectStrategy {
        override fun calculateStrategy(selectNow: IntSupplier, hasTasks: Boolean): Int {
            val polledAt = now()
            val ready = selectNow.get()
            val isBlocking = ready == 0 && !hasTasks
            delay.polled(polledAt, isBlocking)
            return if (isBlocking) SelectStrategy.SELECT else ready
        }
    }

    /** Records that the loop is awake before it runs tasks, whose time counts as a delay too. */
    private class AwakeRecorder(private val handler: IoHandler, private val delay: EventLoopDelay) : IoHandler {
        override fun initialize() = handler.initialize()

        override fun run(context: IoHandlerContext): Int = handler.run(context).also { delay.awoke(now()) }

        override fun prepareToDestroy() = handler.prepareToDestroy()

        override fun destroy() = handler.destroy()

        override fun register(handle: IoHandle): IoRegistration = handler.register(handle)

        override fun wakeup() = handler.wakeup()

        override fun isCompatible(handleType: Class<out IoHandle>): Boolean = handler.isCompatible(handleType)
    }
}
