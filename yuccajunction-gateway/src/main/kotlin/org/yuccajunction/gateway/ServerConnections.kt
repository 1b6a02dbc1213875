package org.yuccajunction.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.FleetSnapshot
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * The kept connections to backend servers.
 *
 * A connection carries one request at a time; one whose state is in doubt is closed and never used again.
 */
internal class ServerConnections(private val dataPlane: DataPlane) {
    private val pools = HashMap<BackendServerId, Pool>()
    private val bootstrap =
        Bootstrap()
            .group(dataPlane.loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)

    /** Sends [request] as [attempt] on a kept connection or a new one. */
    fun send(attempt: ServerAttempt, request: FullHttpRequest, mayRepeat: Boolean) {
        val pool = pool(attempt.server)
        val pooled = pool.takeIdle(dataPlane.now(), mayRepeat)
        if (pooled != null) return pooled.send(attempt, request)
        val endpoint = attempt.server.endpoint
        val future = bootstrap.clone().handler(initializer(attempt.server)).connect(endpoint.host, endpoint.port)
        future.addListener { connected(attempt, request, future) }
    }

    private fun connected(attempt: ServerAttempt, request: FullHttpRequest, future: ChannelFuture) {
        if (!future.isSuccess || attempt.isOver) {
            request.release()
            if (future.isSuccess) returnToPool(future.channel().pipeline().get(ServerConnection::class.java))
            return attempt.end(AttemptEnd.UNREACHABLE)
        }
        future.channel().pipeline().get(ServerConnection::class.java).send(attempt, request)
    }

    private fun initializer(server: BackendServer) =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val decoder = ServerAnswerDecoder()
                channel.pipeline().addLast(decoder, HttpRequestEncoder(), ServerConnection(dataPlane, server, decoder))
            }
        }

    /** Keeps [connection], which is known to be good, for a later request. */
    fun returnToPool(connection: ServerConnection) {
        val pool = pools[connection.server.id]
        if (pool == null || !pool.server.isSameIncarnation(connection.server)) return connection.close()
        connection.idleSince = dataPlane.now()
        pool.idle.addLast(connection)
    }

    /** Forgets a connection that was closed. */
    fun removeClosed(connection: ServerConnection) {
        pools[connection.server.id]?.idle?.remove(connection)
    }

    /** Closes kept connections to servers that are no longer listed. */
    fun closeUnlisted(table: FleetSnapshot) {
        val gone = pools.values.filter { table.servers[it.server.id]?.isSameIncarnation(it.server) != true }
        gone.forEach { pools.remove(it.server.id)?.close() }
    }

    /** Closes connections that have been idle for too long. */
    fun closeIdle(now: MonotonicTime) {
        for (pool in pools.values) {
            pool.idle.filter { !it.isWithinIdleLimit(now, mayRepeat = true) }.forEach { it.close() }
        }
    }

    private fun pool(server: BackendServer): Pool {
        val known = pools[server.id]
        if (known != null && known.server.isSameIncarnation(server)) return known
        known?.close()
        return Pool(server).also { pools[server.id] = it }
    }

    private class Pool(val server: BackendServer) {
        val idle = ArrayDeque<ServerConnection>()

        fun takeIdle(now: MonotonicTime, mayRepeat: Boolean): ServerConnection? {
            while (idle.isNotEmpty()) {
                val connection = idle.last()
                if (!connection.isWithinIdleLimit(now, mayRepeat)) return null
                idle.removeLast()
                if (connection.isOpen) return connection
            }
            return null
        }

        fun close() {
            idle.toList().forEach { it.close() }
        }
    }

    companion object {
        private const val CONNECT_TIMEOUT_MILLIS = 300

        /** How long a kept connection is used again for a request that may repeat, and for one that may not. */
        val MAX_IDLE_REPEATABLE = 5_000.milliseconds
        val MAX_IDLE_UNREPEATABLE = 2_500.milliseconds

        /** Time by which a connection is given up before the server would close it. */
        val KEEP_ALIVE_MARGIN = 700.milliseconds
    }
}
