package org.yuccajunction.adapters.http

import io.ktor.client.engine.HttpClientEngineBase
import io.ktor.client.engine.HttpClientEngineConfig
import io.ktor.client.engine.callContext
import io.ktor.client.plugins.HttpTimeoutCapability
import io.ktor.client.request.HttpRequestData
import io.ktor.client.request.HttpResponseData
import io.ktor.http.HttpMethod
import io.ktor.http.hostWithPort
import io.ktor.util.date.GMTDate
import io.ktor.utils.io.InternalAPI
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.job
import org.yuccajunction.http.AnswerDecoder
import org.yuccajunction.http.AnswerMemory
import org.yuccajunction.http.AnswerShares
import org.yuccajunction.http.HeldBytes
import org.yuccajunction.http.endsWithConnection
import kotlin.time.Duration

/** Exchanges a request for an answer, each on a connection of its own, which is read no faster than the answer is. */
internal class AnswerClientEngine(override val config: HttpClientEngineConfig, connectTimeout: Duration) :
    HttpClientEngineBase("answer-client") {
    override val supportedCapabilities = setOf(HttpTimeoutCapability)
    private val shares = AnswerShares(AnswerMemory())
    private val group =
        MultiThreadIoEventLoopGroup(THREADS, DefaultThreadFactory("answer-client", true), NioIoHandler.newFactory())
    private val bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.AUTO_READ, false)
            // Reports that the server has ended the connection apart from any other close of it.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1))

    init {
        coroutineContext.job.invokeOnCompletion { group.shutdownGracefully() }
    }

    @InternalAPI
    override suspend fun execute(data: HttpRequestData): HttpResponseData {
        val callContext = callContext()
        val sentAt = GMTDate()
        val share = shares.of(data.url.hostWithPort)
        val bounds = BodyBounds(HeldBytes(share), isStream = AnswerClient.isStreamExpected(data))
        callContext.job.invokeOnCompletion { bounds.release() }
        val channel = connect(data, share)
        val inbox = channel.pipeline().get(AnswerInbox::class.java)
        callContext.job.invokeOnCompletion { inbox.cancel() }
        inbox.send(RequestMessage.of(data))
        try {
            val head = ResponseHead.receive(inbox)
            val body = AnswerBody(inbox, bounds, head.endsWithConnection(isToHead(data)))
            return ResponseHead.toResponseData(head, body, sentAt, callContext)
        } catch (failure: Throwable) {
            inbox.cancel()
            throw failure
        }
    }

    private fun isToHead(data: HttpRequestData) = data.method == HttpMethod.Head

    private suspend fun connect(data: HttpRequestData, memory: AnswerMemory): Channel {
        val connected = CompletableDeferred<Channel>()
        val initializer = Initializer(memory, isToHead(data))
        val future = bootstrap.clone().handler(initializer).connect(data.url.host, data.url.port)
        future.addListener {
            val cause = future.cause()
            if (cause == null) connected.complete(future.channel()) else connected.completeExceptionally(cause)
        }
        try {
            return connected.await()
        } catch (failure: Throwable) {
            future.addListener { future.channel().close() }
            throw failure
        }
    }

    private class Initializer(private val memory: AnswerMemory, private val isToHead: Boolean) :
        ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val decoder = AnswerDecoder(memory)
            decoder.isAnswerToHead = { isToHead }
            channel.pipeline().addLast(decoder, HttpRequestEncoder(), AnswerInbox(channel, decoder))
        }
    }

    private companion object {
        const val THREADS = 2
        const val READ_BYTES = 16_384
    }
}
