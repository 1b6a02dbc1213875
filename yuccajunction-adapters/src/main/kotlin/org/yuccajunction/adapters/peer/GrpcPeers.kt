package org.yuccajunction.adapters.peer

import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.netty.NegotiationType
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.ChannelFactory
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.ssl.SslContext
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.Endpoint
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.port.Peers
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Calls other entries over gRPC, with one connection for each address in use.
 *
 * After a call that timed out or found its peer unavailable, later calls use a new connection: the network may drop
 * every packet of the old connection without closing it, while a new one works.
 *
 * @param traffic counts the bytes of all connections
 * @param sslContext returns the TLS context of a new connection, or null for plain text
 */
public class GrpcPeers(
    private val traffic: PeerTraffic = PeerTraffic(),
    private val sslContext: () -> SslContext? = { null },
) : Peers,
    AutoCloseable {
    private val eventLoops = MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory())
    private val channels = ConcurrentHashMap<Endpoint, ManagedChannel>()

    override suspend fun sendHeartbeat(to: Endpoint, heartbeat: Heartbeat): Heartbeat? =
        call(to) { it.call(PeerMethods.heartbeat, heartbeat, HEARTBEAT_TIMEOUT) }.answerOrNull()

    override suspend fun pullDeployment(from: Endpoint): Deployment? =
        call(from) { it.call(PeerMethods.deployment, EmptyMessage(), PULL_DEPLOYMENT_TIMEOUT) }
            .answerOrNull()
            ?.deployment

    override suspend fun forward(to: Endpoint, call: ForwardedCall, atMost: Duration): ForwardOutcome =
        when (val outcome = call(to) { it.call(PeerMethods.forward, call, atMost) }) {
            is PeerCallOutcome.Answered -> outcome.answer.outcome
            is PeerCallOutcome.Failed -> outcome.toForwardOutcome()
        }

    override suspend fun handOver(to: Endpoint, handOver: HandOver): Boolean =
        call(to) { it.call(PeerMethods.takeOver, handOver, HAND_OVER_TIMEOUT) }.answerOrNull()?.kept ?: false

    override suspend fun findRecord(at: Endpoint, requestId: String): RecordAnswer? =
        call(at) { it.call(PeerMethods.findRecord, RecordQuery(requestId), FIND_RECORD_TIMEOUT) }
            .answerOrNull()
            ?.answer

    /** Closes every connection; open calls fail. */
    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        channels.clear()
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private suspend fun <A> call(
        endpoint: Endpoint,
        block: suspend (ManagedChannel) -> PeerCallOutcome<A>,
    ): PeerCallOutcome<A> {
        val channel = channels.computeIfAbsent(endpoint, ::connect)
        val outcome = block(channel)
        if (outcome is PeerCallOutcome.Failed && outcome.status.code in CONNECTION_FAILURES) {
            retire(endpoint, channel)
        }
        return outcome
    }

    /** Removes [channel] from use for new calls; open calls on it may still complete. */
    private fun retire(endpoint: Endpoint, channel: ManagedChannel) {
        if (channels.remove(endpoint, channel)) channel.shutdown()
    }

    private fun connect(endpoint: Endpoint): ManagedChannel {
        val builder =
            NettyChannelBuilder
                .forAddress(InetSocketAddress(endpoint.host, endpoint.port))
                .eventLoopGroup(eventLoops)
                .channelFactory(ChannelFactory { NioSocketChannel().also(traffic::count) })
                .keepAliveTime(KEEPALIVE_INTERVAL.inWholeSeconds, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEPALIVE_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
                .idleTimeout(IDLE_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
                .maxInboundMessageSize(PeerMethods.MESSAGE_LIMIT_BYTES)
                .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                .disableRetry()
        val tls = sslContext()
        if (tls == null) builder.negotiationType(NegotiationType.PLAINTEXT) else builder.sslContext(tls)
        return builder.build()
    }

    private companion object {
        const val EVENT_LOOP_THREADS = 2
        const val FLOW_CONTROL_WINDOW_BYTES = 1 shl 20
        val HEARTBEAT_TIMEOUT = 1.seconds
        val PULL_DEPLOYMENT_TIMEOUT = 3.seconds
        val HAND_OVER_TIMEOUT = 5.seconds
        val FIND_RECORD_TIMEOUT = 2.seconds
        val KEEPALIVE_INTERVAL = 10.seconds
        val KEEPALIVE_TIMEOUT = 3.seconds
        val IDLE_TIMEOUT = 60.seconds
        val CONNECTION_FAILURES = setOf(Status.Code.DEADLINE_EXCEEDED, Status.Code.UNAVAILABLE)
    }
}

private fun <A> PeerCallOutcome<A>.answerOrNull(): A? = (this as? PeerCallOutcome.Answered)?.answer

/**
 * Returns an unknown outcome, even if this call was never sent: the home entry may have executed the request when the
 * caller sent it earlier.
 */
private fun PeerCallOutcome.Failed.toForwardOutcome(): ForwardOutcome =
    ForwardOutcome.Unknown("no answer from the home entry of the request: $status")
