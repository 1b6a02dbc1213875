package org.yuccajunction.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.socket.nio.NioDatagramChannel
import org.yuccajunction.model.Endpoint

/** Opens the socket for datagrams between entries. */
internal object PeerSocket {
    /** Longest datagram of UDP. By default, Netty cuts off what exceeds 2,048 bytes. */
    private const val MAX_DATAGRAM_BYTES = 65_535

    /** Binds to [endpoint], where [receiver] gets each datagram whole. */
    fun bind(group: EventLoopGroup, endpoint: Endpoint, receiver: ChannelHandler): Channel =
        Bootstrap()
            .group(group)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(receiver)
            .bind(endpoint.host, endpoint.port)
            .syncUninterruptibly()
            .channel()
}
