package org.yuccajunction.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.FleetSnapshot
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.http.AnswerMemory
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.relay.ServiceReachability
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Pools the connections to backend servers.
 *
 * A connection carries one request at a time. A connection whose state is uncertain is closed and never reused.
 */
internal class ServerConnections(private val dataPlane: DataPlane) {
    private val pools = HashMap<BackendServerId, Pool>()
    private val pacer = ConnectionPacer { dataPlane.admissions.isLate }
    private val bootstrap =
        Bootstrap()
            .group(dataPlane.loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            // Reports that the server has ended the connection apart from any other close of it.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            // Lets no server keep the traffic thread busy with what it sends, on however many connections.
            .option(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())

    /**
     * Sends the [request] for [attempt] on an idle connection or a new one, unless it is no longer wanted by then.
     *
     * [mayRepeat] says whether the request may be executed more than once; only then may the connection have been idle
     * for longer than [MAX_IDLE_UNREPEATABLE].
     */
    fun send(attempt: ServerAttempt, mayRepeat: Boolean, request: (sentAt: MonotonicTime) -> FullHttpRequest) {
        val pooled = pool(attempt.server).takeIdle(dataPlane.now(), mayRepeat)
        if (pooled != null) return sendAfterReads(attempt, pooled, request)
        pacer.open(isWanted = {
            !attempt.isOver && attempt.exchange.isStillWanted()
        }) { open(attempt, mayRepeat, request) }
    }

    private fun open(
        attempt: ServerAttempt,
        mayRepeat: Boolean,
        request: (sentAt: MonotonicTime) -> FullHttpRequest,
    ): ChannelFuture {
        val endpoint = attempt.server.endpoint
        val future = bootstrap.clone().handler(initializer(attempt.server)).connect(endpoint.host, endpoint.port)
        future.addListener { connected(attempt, mayRepeat, request, future) }
        return future
    }

    /** Sends [request] on the new connection; ending an attempt that is already over has no effect. */
    private fun connected(
        attempt: ServerAttempt,
        mayRepeat: Boolean,
        request: (sentAt: MonotonicTime) -> FullHttpRequest,
        future: ChannelFuture,
    ) {
        dataPlane.loopDelay.awoke(dataPlane.now())
        recordOutcome(attempt.server, future)
        if (outcomeOf(future) == ProbeOutcome.REFUSED) dataPlane.serverEndDetector.connectionRefused(attempt.server)
        if (!future.isSuccess) return attempt.end(AttemptEnd.UNREACHABLE)
        val connection = connectionOf(future)
        if (mayRepeat || !dataPlane.relays.isInDoubt(attempt.server.service)) {
            return sendAfterReads(attempt, connection, request)
        }
        after(RESET_WAIT_MILLIS) { sendAfterReads(attempt, connection, request) }
    }

    private fun connectionOf(future: ChannelFuture): ServerConnection =
        future.channel().pipeline().get(ServerConnection::class.java)

    private fun after(millis: Long, run: () -> Unit) {
        dataPlane.loop.schedule(run, millis, TimeUnit.MILLISECONDS)
    }

    /**
     * Sends [request] on [connection] once the sockets that are ready have been read.
     *
     * Among them may be that of the caller, who has disconnected, or that of the server, which has closed [connection].
     */
    private fun sendAfterReads(
        attempt: ServerAttempt,
        connection: ServerConnection,
        request: (sentAt: MonotonicTime) -> FullHttpRequest,
    ) {
        dataPlane.loop.execute {
            when {
                attempt.isOver || !attempt.exchange.isStillWanted() -> returnToPool(connection)
                isHeldBack(attempt.server) -> {
                    returnToPool(connection)
                    attempt.end(AttemptEnd.UNREACHABLE)
                }
                !connection.isOpen -> attempt.end(AttemptEnd.UNREACHABLE)
                isReplaced(attempt.server) -> {
                    returnToPoolOnceSettled(connection)
                    attempt.end(AttemptEnd.UNREACHABLE)
                }
                else -> connection.send(attempt, request(dataPlane.now()))
            }
        }
    }

    /** Returns whether [server] has asked for no requests since one was to be sent there on a new connection. */
    private fun isHeldBack(server: BackendServer): Boolean {
        val notices = dataPlane.loadBalancer.notices
        return notices.isLeaving(server) || notices.pauseLeft(server, dataPlane.now()) != null
    }

    /**
     * Returns whether peers take the requests of the service of [server], whose connections end as soon as they open.
     *
     * Its connections are kept out of the pool until they have settled.
     */
    private fun isReplaced(server: BackendServer): Boolean =
        !server.isPeerEntry && dataPlane.relays.canReplace(server.service)

    /** Opens a connection to [server] and reports the outcome; keeps the connection once it has settled. */
    fun probe(server: BackendServer, onResult: (ProbeOutcome) -> Unit) {
        val endpoint = server.endpoint
        val future = bootstrap.clone().handler(initializer(server)).connect(endpoint.host, endpoint.port)
        future.addListener {
            recordOutcome(server, future)
            if (future.isSuccess) returnToPoolOnceSettled(connectionOf(future))
            onResult(outcomeOf(future))
        }
    }

    /** Keeps requests away from [connection] until it is clear that it was not only accepted to be reset. */
    private fun returnToPoolOnceSettled(connection: ServerConnection) =
        after(ServiceReachability.SETTLING_TIME.inWholeMilliseconds) {
            if (connection.isOpen) connection.proof.settled()
            returnToPool(connection)
        }

    private fun outcomeOf(future: ChannelFuture): ProbeOutcome =
        when {
            future.isSuccess -> ProbeOutcome.ACCEPTED
            future.cause().let { it is ConnectException && it !is ConnectTimeoutException } -> ProbeOutcome.REFUSED
            else -> ProbeOutcome.UNKNOWN
        }

    private fun recordOutcome(server: BackendServer, future: ChannelFuture) {
        if (future.isSuccess) connectionOf(future).proof.opened() else dataPlane.relays.recordConnectionFailure(server)
    }

    private fun initializer(server: BackendServer) =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val memory = pools[server.id]?.memory ?: dataPlane.answerMemory
                val decoder = ServerAnswerDecoder(memory)
                val connection = ServerConnection(dataPlane, server, decoder, memory)
                channel.pipeline().addLast(decoder, HttpRequestEncoder(), connection)
            }
        }

    /** Returns [connection], which is in a known state and carries no request, to its server's pool. */
    fun returnToPool(connection: ServerConnection) {
        if (!connection.isOpen) return
        val pool = pools[connection.server.id]
        if (pool == null || !pool.server.isSameIncarnation(connection.server)) return connection.close()
        connection.idleSince = dataPlane.now()
        pool.idle.addLast(connection)
    }

    /** Removes a closed connection from its server's pool. */
    fun removeClosed(connection: ServerConnection) {
        pools[connection.server.id]?.idle?.remove(connection)
    }

    /** Closes idle connections to servers that [fleet] does not list, or lists as restarted. */
    fun closeUnlisted(fleet: FleetSnapshot) {
        val gone =
            pools.values.filter {
                !it.server.isPeerEntry && fleet.servers[it.server.id]?.isSameIncarnation(it.server) != true
            }
        gone.forEach { pools.remove(it.server.id)?.close() }
    }

    /** Closes the idle connections to servers of [service]. */
    fun closeIdle(service: ServiceName) {
        pools.values.filter { it.server.service == service && !it.server.isPeerEntry }.forEach { it.close() }
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
        return Pool(server, dataPlane.answerMemory.shareOfServer()).also { pools[server.id] = it }
    }

    private class Pool(val server: BackendServer, val memory: AnswerMemory) {
        val idle = ArrayDeque<ServerConnection>()

        /**
         * Removes and returns the most recently used connection; null where that one has been idle for too long.
         *
         * Such a connection stays in the pool until [closeIdle], since requests that may be repeated may still use it.
         */
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
        private fun boundedReads() =
            AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)

        private const val MIN_READ_BYTES = 64
        private const val FIRST_READ_BYTES = 2_048

        /** Bytes that are read of one connection before the others have their turn. */
        private const val MAX_READ_BYTES = 16_384
        private const val CONNECT_TIMEOUT_MILLIS = 300

        /** Time for which a new connection is watched before it carries a request that may be executed only once. */
        private const val RESET_WAIT_MILLIS = 50L

        /** Idle time up to which a connection is reused for a request that may be executed more than once. */
        val MAX_IDLE_REPEATABLE = 5_000.milliseconds

        /** Idle time up to which a connection is reused for a request that may be executed only once. */
        val MAX_IDLE_UNREPEATABLE = 2_500.milliseconds

        /** Time before the server's keep-alive timeout from which on an idle connection is not reused. */
        val KEEP_ALIVE_MARGIN = 700.milliseconds
    }
}
