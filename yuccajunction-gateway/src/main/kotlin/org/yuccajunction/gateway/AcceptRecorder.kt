package org.yuccajunction.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import org.yuccajunction.overload.AcceptQueueAge

/** Records for [dataPlane] how long each connection that a listening socket accepts may have waited. */
internal class AcceptRecorder(private val dataPlane: DataPlane) : ChannelInboundHandlerAdapter() {
    private val age = AcceptQueueAge(dataPlane.loopDelay, ACCEPTS_PER_TURN)

    /** Whether more connections may wait in the accept queue. */
    val mayHaveMore: Boolean get() = age.mayHaveMore

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val now = dataPlane.now()
        dataPlane.loopDelay.awoke(now)
        dataPlane.acceptedSince = age.accepted(now)
        context.fireChannelRead(message)
        dataPlane.acceptedSince = null
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        age.turnEnded(dataPlane.now())
        context.fireChannelReadComplete()
    }

    companion object {
        /** Connections accepted per turn, so that a burst of them does not keep open requests waiting. */
        const val ACCEPTS_PER_TURN = 16
    }
}
