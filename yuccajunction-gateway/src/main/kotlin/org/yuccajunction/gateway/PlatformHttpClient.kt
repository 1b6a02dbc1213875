package org.yuccajunction.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.yuccajunction.http.AnswerDecoder
import org.yuccajunction.http.AnswerMemory
import org.yuccajunction.http.HeldBytes
import org.yuccajunction.model.Endpoint
import kotlin.time.Duration

/**
 * Calls the platform over pooled HTTP connections, with one call at a time on each connection.
 *
 * Confined to the control thread. A call without an answer in time resets its connection, because the other side may
 * have vanished, and the call must not arrive once its time is over: another entry may act then. The end of the process
 * resets the connections too.
 */
public class PlatformHttpClient(private val loop: EventLoop) {
    private val memory = AnswerMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR)
    private val idleConnections = HashMap<Endpoint, ArrayDeque<IdleConnection>>()
    private val bootstrap =
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.SO_LINGER, RESET_AT_CLOSE)

    /** Sends one request and waits at most [timeout] for the answer; the time to connect is not included. */
    public suspend fun call(
        endpoint: Endpoint,
        method: String,
        uri: String,
        body: String?,
        timeout: Duration,
        headers: Map<String, String> = emptyMap(),
    ): HttpReply {
        val channel = takeIdle(endpoint) ?: connect(endpoint) ?: return HttpReply.NotSent("can't connect to $endpoint")
        val answer = CompletableDeferred<HttpReply>()
        channel.pipeline().get(PlatformAnswerHandler::class.java).begin(answer)
        channel.writeAndFlush(request(endpoint, method, uri, body, headers))
        val reply =
            try {
                withTimeoutOrNull(timeout) { answer.await() }
            } finally {
                if (!answer.isCompleted) channel.close()
            }
        if (reply is HttpReply.Answered && channel.isActive) keepIdle(endpoint, channel)
        return reply ?: HttpReply.Unanswered("no answer from $endpoint within $timeout")
    }

    private fun takeIdle(endpoint: Endpoint): Channel? {
        val connections = idleConnections[endpoint] ?: return null
        while (true) {
            val next = connections.removeLastOrNull() ?: return null
            val isFresh = System.nanoTime() - next.idleSinceNanos < MAX_IDLE_NANOS
            if (next.channel.isActive && isFresh) return next.channel
            next.channel.close()
        }
    }

    private fun keepIdle(endpoint: Endpoint, channel: Channel) {
        idleConnections.getOrPut(endpoint) { ArrayDeque() }.addLast(IdleConnection(channel, System.nanoTime()))
    }

    private suspend fun connect(endpoint: Endpoint): Channel? {
        val connected = CompletableDeferred<Channel?>()
        val future = bootstrap.clone().handler(Initializer()).connect(endpoint.host, endpoint.port)
        future.addListener { connected.complete(future.channel().takeIf { future.isSuccess }) }
        try {
            return connected.await()
        } catch (cancellation: CancellationException) {
            future.addListener { future.channel().close() }
            throw cancellation
        }
    }

    private fun request(
        endpoint: Endpoint,
        method: String,
        uri: String,
        body: String?,
        headers: Map<String, String>,
    ): DefaultFullHttpRequest {
        val content = if (body == null) Unpooled.EMPTY_BUFFER else Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, content)
        request.headers().set(HttpHeaderNames.HOST, endpoint.toString())
        headers.forEach { (name, value) -> request.headers().set(name, value) }
        if (body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        }
        return request
    }

    private class IdleConnection(val channel: Channel, val idleSinceNanos: Long)

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val decoder = AnswerDecoder(memory)
            val handler = PlatformAnswerHandler(decoder, HeldBytes(memory), MAX_ANSWER_BYTES)
            channel.pipeline().addLast(decoder, HttpRequestEncoder(), handler)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 500

        /** Seconds for which the system sends on after a close: it drops what has not arrived. */
        const val RESET_AT_CLOSE = 0
        const val MAX_ANSWER_BYTES = 8 * 1_048_576
        const val MAX_IDLE_NANOS = 4_000_000_000L

        /** The platform's answers may take an eighth of the heap, beside those of backend servers. */
        const val HEAP_DIVISOR = 8
    }
}
