package org.yuccajunction.gateway

import io.netty.channel.ChannelHandlerContext
import org.yuccajunction.http.AnswerDecoder
import org.yuccajunction.http.AnswerMemory

/** Decodes a backend server's answers, and reports when its connection is read. */
internal class ServerAnswerDecoder(memory: AnswerMemory) : AnswerDecoder(memory) {
    /** Called with each read of the connection, before what was read is decoded. */
    var onRead: () -> Unit = {}

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        onRead()
        super.channelRead(context, message)
    }
}
