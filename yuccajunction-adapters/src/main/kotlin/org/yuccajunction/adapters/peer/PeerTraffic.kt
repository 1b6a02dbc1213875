package org.yuccajunction.adapters.peer

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPromise
import java.util.concurrent.atomic.AtomicLong

/** Counts the bytes that this process exchanges with other entries, over all connections. */
public class PeerTraffic {
    private val sent = AtomicLong()
    private val received = AtomicLong()
    private val opened = AtomicLong()

    /** Bytes written to connections so far, including framing and TLS, excluding TCP and IP headers. */
    public val bytesSent: Long get() = sent.get()

    /** Bytes read from connections so far, including framing and TLS, excluding TCP and IP headers. */
    public val bytesReceived: Long get() = received.get()

    /** Number of connections opened and accepted so far. */
    public val connectionsOpened: Long get() = opened.get()

    /** Starts to count the bytes of [channel]; to be called before its first use. */
    internal fun count(channel: Channel) {
        opened.incrementAndGet()
        channel.pipeline().addFirst(Counter())
    }

    /** Starts to count the bytes of every connection that [listening] accepts. */
    internal fun countAccepted(listening: Channel) {
        listening.pipeline().addFirst(AcceptedCounter())
    }

    private inner class Counter : ChannelDuplexHandler() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is ByteBuf) received.addAndGet(message.readableBytes().toLong())
            context.fireChannelRead(message)
        }

        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            if (message is ByteBuf) sent.addAndGet(message.readableBytes().toLong())
            context.write(message, promise)
        }
    }

    @ChannelHandler.Sharable
    private inner class AcceptedCounter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is Channel) count(message)
            context.fireChannelRead(message)
        }
    }
}
