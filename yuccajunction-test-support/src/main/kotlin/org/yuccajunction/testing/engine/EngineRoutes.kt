package org.yuccajunction.testing.engine

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import org.yuccajunction.model.LoadReport
import org.yuccajunction.port.ServerOrder
import org.yuccajunction.testing.receiveJson
import org.yuccajunction.testing.respondJson

@Serializable
private data class OrderBody(val order: ServerOrder, val fencingNumber: Long)

@Serializable
private data class ExportBody(val attemptId: String)

@Serializable
private data class HandleBody(val handle: String)

/** Serves the load report, cache events, orders and KV cache transfer. */
internal fun Route.engineRoutes(state: EngineState) {
    get("/load") { call.respondJson(LoadReport.serializer(), state.load.laggedReport()) }
    get("/v1/cache_events") {
        val after = call.parameters["after"]?.toLongOrNull() ?: 0
        call.respondJson(CacheEvents.serializer(), state.cache.eventsAfter(after))
    }
    post("/v1/orders") {
        val body = call.receiveJson(OrderBody.serializer())
        val isAccepted = state.acceptOrder(body.order, body.fencingNumber)
        call.respond(if (isAccepted) HttpStatusCode.OK else HttpStatusCode.Conflict)
    }
    post("/v1/kv/export") { call.exportKvCache(state) }
    post("/v1/kv/import") {
        state.importedHandles += call.receiveJson(HandleBody.serializer()).handle
        call.respond(HttpStatusCode.OK)
    }
}

private suspend fun RoutingCall.exportKvCache(state: EngineState) {
    val attempt = receiveJson(ExportBody.serializer()).attemptId
    if (attempt in state.activeRequests) {
        respondJson(HandleBody.serializer(), HandleBody("kv-$attempt"))
    } else {
        respond(HttpStatusCode.NotFound)
    }
}

/** Serves the calls by which tests set faults and cold starts and read the ledgers. */
internal fun Route.engineAdminRoutes(state: EngineState) {
    post("/admin/faults") {
        state.faults = call.receiveJson(ModelEngineFaults.serializer())
        call.respond(HttpStatusCode.OK)
    }
    post("/admin/cold") {
        val millis = call.parameters["millis"]?.toLongOrNull() ?: 0
        state.cache.clear()
        state.load.beginColdStart(millis, call.booleanParameter("reported"), call.booleanParameter("newIncarnation"))
        call.respond(HttpStatusCode.OK)
    }
    get("/admin/ledger") {
        call.respondJson(EngineLedger.serializer(), EngineLedger(state.ledger.rows(), state.load.counts()))
    }
    get("/admin/orders") { call.respondJson(OrderLedger.serializer(), state.orderLedger()) }
}

private fun RoutingCall.booleanParameter(name: String): Boolean = parameters[name] == "true"
