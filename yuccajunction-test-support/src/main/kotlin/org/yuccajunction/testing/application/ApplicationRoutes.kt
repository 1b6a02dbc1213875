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

private val HANG = 10.minutes

/** Load report, status path, administration, and every other path as the application's own. */
internal fun Route.applicationRoutes(state: ApplicationState) {
    get("/load") { call.respondJson(LoadReport.serializer(), state.load.report()) }
    get("/status/{requestId}") {
        val id = call.parameters["requestId"].orEmpty()
        call.respondJson(RunStatus.serializer(), RunStatus(id, state.ledger().runs(id)))
    }
    post("/admin/faults") {
        state.faults = call.receiveJson(ApplicationFaults.serializer())
        call.respond(HttpStatusCode.OK)
    }
    post("/admin/cold") {
        val millis = call.parameters["millis"]?.toLongOrNull() ?: 0
        state.load.turnCold(millis, call.flag("reported"), call.flag("newIncarnation"))
        call.respond(HttpStatusCode.OK)
    }
    get("/admin/ledger") { call.respondJson(ApplicationLedger.serializer(), state.ledger()) }
    route("{path...}") { handle { call.serve(state) } }
}

private suspend fun RoutingCall.serve(state: ApplicationState) {
    val body = receive<ByteArray>()
    val faults = state.faultsOfNext(request.path())
    val standing = state.load.enter()
    try {
        when {
            !standing -> respond(HttpStatusCode.InternalServerError)
            faults.refuseNotRun || state.load.running > state.settings.requestLimit -> {
                response.header("X-Not-Run", "true")
                respond(HttpStatusCode.ServiceUnavailable)
            }
            else -> run(state, faults, body)
        }
    } finally {
        state.load.leave()
    }
}

private suspend fun RoutingCall.run(state: ApplicationState, faults: ApplicationFaults, body: ByteArray) {
    if (faults.hangBeforeRun) delay(HANG)
    delay(state.settings.serviceMillis + faults.delayMillis)
    val attemptId = request.headers["X-Attempt-Id"].orEmpty()
    val requestId = request.headers["X-Request-Id"].orEmpty()
    val method = request.httpMethod.value
    state.run(ApplicationLedgerRow(requestId, attemptId, method, request.uri, System.currentTimeMillis()))
    if (faults.hangAfterRun) delay(HANG)
    if (faults.loseAnswer) {
        closeConnection()
        return
    }
    response.header("X-Attempt-Id", if (faults.crossed) "other-attempt" else attemptId)
    val overloaded = faults.badAboveRunning?.let { state.load.running > it } == true
    if (overloaded || state.fails(faults.failShare)) {
        respond(HttpStatusCode.InternalServerError)
    } else {
        respondJson(ApplicationAnswer.serializer(), ApplicationAnswer.to(method, request.uri, body))
    }
}

private fun RoutingCall.flag(name: String): Boolean = parameters[name] == "true"
