package org.yuccajunction.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.yuccajunction.control.Blackboard
import org.yuccajunction.model.Endpoint

/**
 * Serves operators and monitoring on a separate port: health, readiness, metrics and the state of the entry.
 *
 * @property isReady returns whether the entry accepts new requests
 * @property addRoutes adds further routes, such as the operator API
 */
public class OperatorServer(
    private val endpoint: Endpoint,
    private val board: () -> Blackboard,
    private val isReady: () -> Boolean,
    private val meters: PrometheusMeterRegistry,
    private val addRoutes: Route.() -> Unit,
) {
    private val server = embeddedServer(Netty, endpoint.port, endpoint.host) { operatorModule() }

    /** Starts to listen; returns the address in use. */
    public fun start(): Endpoint {
        server.start(wait = false)
        val port = runBlocking { server.engine.resolvedConnectors().first().port }
        return Endpoint(endpoint.host, port)
    }

    /** Stops listening. */
    public fun stop() {
        server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
    }

    private fun Application.operatorModule() {
        routing {
            get("/health") { call.respondText("ok\n") }
            get("/ready") {
                val status = if (isReady()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
                call.respondText(if (isReady()) "ready\n" else "not ready\n", status = status)
            }
            get("/metrics") { call.respondText(meters.scrape(), ContentType.Text.Plain) }
            get("/state") {
                val state = EntryStateReport.of(board())
                call.respondText(Json.encodeToString(state), ContentType.Application.Json)
            }
            addRoutes()
        }
    }

    private companion object {
        const val STOP_GRACE_MILLIS = 100L
        const val STOP_TIMEOUT_MILLIS = 1_000L
    }
}
