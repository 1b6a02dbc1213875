package org.yuccajunction.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.DatagramPacket
import org.yuccajunction.model.Endpoint
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class PeerSocketTest {
    private val received = LinkedBlockingQueue<Int>()

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            received += packet.content().readableBytes()
        }
    }

    /** Guards against heartbeats with the counts of many workspaces that arrive cut off and can't be decoded. */
    @Test
    fun `a datagram of more than two kilobytes arrives whole`() {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val loopback = InetAddress.getLoopbackAddress()
        val channel = PeerSocket.bind(group, Endpoint(loopback.hostAddress, 0), Receiver())
        DatagramSocket().use { socket ->
            val target = channel.localAddress() as InetSocketAddress
            socket.send(java.net.DatagramPacket(ByteArray(30_000), 30_000, target))
            assertEquals(30_000, received.poll(5, TimeUnit.SECONDS))
        }
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }
}
