package org.yuccajunction.adapters.peer

import io.grpc.MethodDescriptor
import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import io.netty.channel.ChannelFactory
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.ssl.SslContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.yuccajunction.model.Endpoint
import org.yuccajunction.port.PeerHandler
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Serves the gRPC calls of other entries through [handler].
 *
 * A call that the peer cancels is still completed, so that the execution of a forwarded request is recorded.
 *
 * @param traffic counts the bytes of all connections
 * @param sslContext TLS context of the listening port, or null for plain text
 */
public class GrpcPeerServer(
    private val endpoint: Endpoint,
    private val handler: PeerHandler,
    private val traffic: PeerTraffic = PeerTraffic(),
    private val sslContext: SslContext? = null,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val acceptLoop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoops = MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory())
    private val server = build()

    /** Port on which the server listens after [start]. */
    public val port: Int get() = server.port

    /** Opens the port and begins to accept calls. */
    public fun start() {
        server.start()
    }

    /** Refuses new calls, waits up to [atMost] for open calls, then cancels the rest. */
    public fun stop(atMost: Duration) {
        server.shutdown()
        if (!server.awaitTermination(atMost.inWholeMilliseconds, TimeUnit.MILLISECONDS)) server.shutdownNow()
        close()
    }

    /** Cancels open calls and stops the server at once. */
    override fun close() {
        server.shutdownNow()
        scope.cancel()
        acceptLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun build(): Server {
        val builder =
            NettyServerBuilder
                .forAddress(InetSocketAddress(endpoint.host, endpoint.port))
                .bossEventLoopGroup(acceptLoop)
                .workerEventLoopGroup(eventLoops)
                .channelFactory(ChannelFactory { NioServerSocketChannel().also(traffic::countAccepted) })
                .permitKeepAliveTime(PERMITTED_KEEPALIVE_INTERVAL.inWholeSeconds, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .maxConnectionIdle(IDLE_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
                .maxInboundMessageSize(PeerMethods.MESSAGE_LIMIT_BYTES)
                .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
                .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                .addService(service())
        sslContext?.let(builder::sslContext)
        return builder.build()
    }

    private fun service(): ServerServiceDefinition =
        ServerServiceDefinition
            .builder(PeerMethods.SERVICE)
            .method(PeerMethods.heartbeat) { handler.answerHeartbeat(it) }
            .method(PeerMethods.deployment) { DeploymentMessage(handler.deployment()) }
            .method(PeerMethods.forward) { ForwardAnswer(handler.executeForwardedCall(it)) }
            .method(PeerMethods.takeOver) { HandOverAnswer(handler.takeOver(it)) }
            .method(PeerMethods.findRecord) { RecordMessage(handler.findRecord(it.requestId)) }
            .build()

    private fun <Q : Any, A : Any> ServerServiceDefinition.Builder.method(
        descriptor: MethodDescriptor<Q, A>,
        answer: suspend (Q) -> A,
    ): ServerServiceDefinition.Builder =
        addMethod(
            descriptor,
            ServerCalls.asyncUnaryCall { request: Q, observer: StreamObserver<A> ->
                (observer as ServerCallStreamObserver<A>).setOnCancelHandler { }
                scope.launch { respond(observer) { answer(request) } }
            },
        )

    private suspend fun <A : Any> respond(observer: ServerCallStreamObserver<A>, answer: suspend () -> A) {
        val outcome =
            try {
                Result.success(answer())
            } catch (exception: CancellationException) {
                Result.failure(Status.UNAVAILABLE.withCause(exception).asRuntimeException())
            } catch (exception: Exception) {
                Result.failure(Status.INTERNAL.withCause(exception).asRuntimeException())
            }
        if (observer.isCancelled) return
        outcome.fold(
            onSuccess = {
                observer.onNext(it)
                observer.onCompleted()
            },
            onFailure = { observer.onError(it as StatusRuntimeException) },
        )
    }

    private companion object {
        const val EVENT_LOOP_THREADS = 2
        const val MAX_CALLS_PER_CONNECTION = 1_000
        const val FLOW_CONTROL_WINDOW_BYTES = 1 shl 20
        val PERMITTED_KEEPALIVE_INTERVAL = 5.seconds
        val IDLE_TIMEOUT = 5.minutes
    }
}
