package org.yuccajunction.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.yuccajunction.forward.CallerLimits
import org.yuccajunction.model.Endpoint
import java.util.concurrent.TimeUnit

/** Opens the listening TCP sockets of an entry on the event loops of [group]. */
internal class Listeners(private val group: EventLoopGroup) {
    /** Listens at [endpoint] for requests of callers, or of peers if [isForPeers], which [dataPlane] forwards. */
    fun listenForCallers(endpoint: Endpoint, dataPlane: DataPlane, isForPeers: Boolean = false): Channel =
        listen(endpoint, AcceptRecorder(dataPlane)) { channel ->
            val limits = dataPlane.fleet.configuration?.limits ?: CallerLimits()
            val headerBytes = limits.headerBytes + if (isForPeers) PEER_HEADER_BYTES else 0
            val lengths = HttpDecoderConfig().setMaxInitialLineLength(headerBytes).setMaxHeaderSize(headerBytes)
            val decoder = CallerRequestDecoder(lengths, dataPlane::now)
            val connection = CallerConnection(dataPlane, limits, decoder, isForPeers)
            channel.pipeline().addLast(decoder, HttpResponseEncoder(), connection)
            channel.config().setRecvByteBufAllocator(
                AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS),
            )
        }

    /** Closes the listening socket [channel] once no connection waits to be accepted, which a close would reset. */
    fun closeWhenEmpty(channel: Channel) {
        val recorder = channel.pipeline().get(AcceptRecorder::class.java)
        // Unlike a task, a timer that is due runs after the sockets were polled again.
        channel.eventLoop().schedule(
            { if (recorder?.mayHaveMore == true) closeWhenEmpty(channel) else channel.close() },
            0,
            TimeUnit.NANOSECONDS,
        )
    }

    /** Listens at [endpoint] for requests about the entry itself; [answer] gets the path and query of each. */
    fun listenForSmallRequests(endpoint: Endpoint, answer: (uri: String) -> SmallAnswer): Channel =
        listen(endpoint) { channel ->
            channel.pipeline().addLast(
                HttpServerCodec(),
                HttpObjectAggregator(MAX_SMALL_REQUEST_BYTES),
                SmallAnswerHandler(answer),
            )
        }

    private fun listen(
        endpoint: Endpoint,
        acceptHandler: ChannelHandler? = null,
        initialize: (SocketChannel) -> Unit,
    ): Channel =
        ServerBootstrap()
            .group(group)
            .apply { acceptHandler?.let(::handler) }
            .channel(NioServerSocketChannel::class.java)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = initialize(channel)
                },
            ).bind(endpoint.host, endpoint.port)
            .syncUninterruptibly()
            .channel()

    private class SmallAnswerHandler(private val answer: (uri: String) -> SmallAnswer) :
        SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val answered = answer(request.uri())
            val body = Unpooled.copiedBuffer(answered.body, Charsets.UTF_8)
            val status = HttpResponseStatus.valueOf(answered.status)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answered.contentType)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            val isKeptOpen = HttpUtil.isKeepAlive(request)
            if (!isKeptOpen) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            val written = context.writeAndFlush(response)
            if (!isKeptOpen) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Netty deprecates this method, but its pipeline still calls it.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        /**
         * Reads of one connection per turn, so that the largest request is read with the close that may follow it.
         *
         * By default, Netty stops at the first read that does not fill its buffer, and a close is seen a turn later.
         */
        const val MAX_READS = 128
        const val MAX_SMALL_REQUEST_BYTES = 16_384

        /** Bytes that a peer may add to the headers of a request. */
        const val PEER_HEADER_BYTES = 256
    }
}
