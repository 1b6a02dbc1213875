package org.yuccajunction.entry.serving

import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.netty.handler.codec.http.HttpServerCodec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.yuccajunction.model.Ending
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Serves callers at one endpoint: the list of entries, chat completions of models and application calls. */
public class CallerServer(private val endpoint: Endpoint, private val context: ServingContext) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val state = ServingState(context, scope)
    private val admission = Admission(state)
    private val addressHandler = AddressHandler(state)
    private val completionHandler = CompletionHandler(state, admission)
    private val callHandler = CallHandler(state, admission)
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(Netty, configure = { configure() }, module = { routes() })

    /** Handles the requests of other entries about calls, records and streams. */
    public val peerHandler: ServingPeerHandler = ServingPeerHandler(state)

    /** The current identity epoch of this entry. */
    public val identityEpoch: Long get() = state.requestIds.epoch

    /** The number of requests that hold a slot of this entry. */
    public val openRequests: Int get() = state.openRequestCount.get()

    /** Starts to listen; fails if the endpoint is in use. */
    public fun start() {
        System.setProperty(SHUTDOWN_HOOK_PROPERTY, "false")
        server.start(wait = false)
        scope.launch { removeUnreadStreams() }
    }

    /**
     * Finishes open requests within [remaining] and hands the unfinished streams and the records to another entry.
     *
     * Returns the entry that has taken over the records; null if none has.
     */
    public suspend fun drain(remaining: Duration): EntryIncarnation? = GracefulShutdown(state).drain(remaining)

    /** Closes the endpoint and aborts the requests that are still open. */
    public fun stop() {
        server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
        scope.cancel()
    }

    private fun NettyApplicationEngine.Configuration.configure() {
        connector {
            host = endpoint.host
            port = endpoint.port
        }
        connectionGroupSize = CONNECTION_THREADS
        workerGroupSize = WORKER_THREADS
        callGroupSize = CALL_THREADS
        httpServerCodec = { HttpServerCodec(REQUEST_LINE_LIMIT_BYTES, context.limits.headerBytes, CHUNK_LIMIT_BYTES) }
    }

    private fun Application.routes() {
        routing {
            get("/v1/entries") { addressHandler.handle(call) }
            post("/v1/chat/completions") { withinUnansweredLimit(call) { completionHandler.handle(call) } }
            route("/apps/{application}/{path...}") {
                handle { withinUnansweredLimit(call) { callHandler.handle(call) } }
            }
        }
    }

    private suspend fun withinUnansweredLimit(call: ApplicationCall, answer: suspend () -> Unit) {
        val open = state.unansweredRequestCount.incrementAndGet()
        try {
            if (open >
                context.limits.unansweredRequests
            ) {
                call.respondProblem(unansweredLimitProblem(call))
            } else {
                answer()
            }
        } finally {
            state.unansweredRequestCount.decrementAndGet()
        }
    }

    /**
     * Returns the answer beyond the limit of unanswered requests.
     *
     * A request with an identity or an idempotency key may have been executed when it was sent before, so the answer
     * doesn't say that it was not executed.
     */
    private fun unansweredLimitProblem(call: ApplicationCall): ProblemDocument {
        val detail = "the entry holds ${context.limits.unansweredRequests} unanswered requests"
        val headers = call.request.headers
        val isNamed = REQUEST_ID_HEADER in headers || IDEMPOTENCY_KEY_HEADER in headers
        if (isNamed) return state.problems.of(Ending.OutcomeUnknown(detail))
        return state.problems.refusal(RefusalReason.ENTRY_LIMIT, detail)
    }

    private suspend fun removeUnreadStreams() {
        while (true) {
            delay(UNREAD_STREAM_CHECK_INTERVAL)
            state.streams.removeUnread(context.limits.resumeGracePeriod, context.clock())
        }
    }

    private companion object {
        /** Ktor's own shutdown hook would abort open requests as soon as the process receives SIGTERM. */
        const val SHUTDOWN_HOOK_PROPERTY = "io.ktor.server.engine.ShutdownHook"
        const val CONNECTION_THREADS = 1
        const val WORKER_THREADS = 2
        const val CALL_THREADS = 4
        const val REQUEST_LINE_LIMIT_BYTES = 8_192
        const val CHUNK_LIMIT_BYTES = 8_192
        const val STOP_GRACE_MILLIS = 100L
        const val STOP_TIMEOUT_MILLIS = 1_000L
        val UNREAD_STREAM_CHECK_INTERVAL = 1.seconds
    }
}
