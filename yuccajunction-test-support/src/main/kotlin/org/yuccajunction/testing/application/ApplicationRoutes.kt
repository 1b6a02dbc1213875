package org.yuccajunction.testing.application

import io.ktor.http.HttpStatusCode
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receive
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import kotlinx.coroutines.delay
import org.yuccajunction.model.LoadReport
import org.yuccajunction.testing.closeConnection
import org.yuccajunction.testing.receiveJson
import org.yuccajunction.testing.respondJson
import kotlin.time.Duration.Companion.minutes

private val HANG_DURATION = 10.minutes

/** Serves the load report, the status path and the administration; handles all other paths as application calls. */
internal fun Route.applicationRoutes(state: ApplicationState) {
    get("/load") { call.respondJson(LoadReport.serializer(), state.load.laggedReport()) }
    get("/status/{requestId}") {
        val id = call.parameters["requestId"].orEmpty()
        call.respondJson(RunStatus.serializer(), RunStatus(id, state.ledger().executionCount(id)))
    }
    post("/admin/faults") {
        state.faults = call.receiveJson(ApplicationFaults.serializer())
        call.respond(HttpStatusCode.OK)
    }
    post("/admin/cold") {
        val millis = call.parameters["millis"]?.toLongOrNull() ?: 0
        state.load.beginColdStart(millis, call.booleanParameter("reported"), call.booleanParameter("newIncarnation"))
        call.respond(HttpStatusCode.OK)
    }
    get("/admin/ledger") { call.respondJson(ApplicationLedger.serializer(), state.ledger()) }
    route("{path...}") { handle { call.handleCall(state) } }
}

private suspend fun RoutingCall.handleCall(state: ApplicationState) {
    val body = receive<ByteArray>()
    val faults = state.faultsForNextCall(request.path())
    val isHealthy = state.load.beginRequest()
    try {
        when {
            !isHealthy -> respond(HttpStatusCode.InternalServerError)
            faults.refuseNotRun || state.load.openRequests > state.settings.requestLimit -> {
                response.header("X-Not-Run", "true")
                respond(HttpStatusCode.ServiceUnavailable)
            }
            else -> execute(state, faults, body)
        }
    } finally {
        state.load.endRequest()
    }
}

private suspend fun RoutingCall.execute(state: ApplicationState, faults: ApplicationFaults, body: ByteArray) {
    if (faults.hangBeforeRun) delay(HANG_DURATION)
    delay(state.settings.serviceMillis + faults.delayMillis)
    val attemptId = request.headers["X-Attempt-Id"].orEmpty()
    val requestId = request.headers["X-Request-Id"].orEmpty()
    val method = request.httpMethod.value
    state.recordExecution(ApplicationLedgerRow(requestId, attemptId, method, request.uri, System.currentTimeMillis()))
    if (faults.hangAfterRun) delay(HANG_DURATION)
    if (faults.loseAnswer) {
        closeConnection()
        return
    }
    response.header("X-Attempt-Id", if (faults.crossed) "other-attempt" else attemptId)
    val isOverloaded = faults.badAboveRunning?.let { state.load.openRequests > it } == true
    if (isOverloaded || state.failsCurrentCall(faults.failShare)) {
        respond(HttpStatusCode.InternalServerError)
    } else {
        respondJson(ApplicationAnswer.serializer(), ApplicationAnswer.to(method, request.uri, body))
    }
}

private fun RoutingCall.booleanParameter(name: String): Boolean = parameters[name] == "true"
