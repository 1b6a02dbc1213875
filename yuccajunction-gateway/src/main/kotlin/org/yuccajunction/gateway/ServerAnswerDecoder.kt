package org.yuccajunction.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import org.yuccajunction.http.AnswerDecoder
import org.yuccajunction.http.AnswerMemory

/** Decodes a backend server's answers, and records how its side of the connection ends. */
internal class ServerAnswerDecoder(memory: AnswerMemory) : AnswerDecoder(memory) {
    /** Whether the server has ended the connection in an orderly way, after all that it has sent. */
    var isInputEnded = false
        private set

    /** Called with each read of the connection, before what was read is decoded. */
    var onRead: () -> Unit = {}

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        onRead()
        super.channelRead(context, message)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === ChannelInputShutdownEvent.INSTANCE) isInputEnded = true
        super.userEventTriggered(context, event)
    }
}
