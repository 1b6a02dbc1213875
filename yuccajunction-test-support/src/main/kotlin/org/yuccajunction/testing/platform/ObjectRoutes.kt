package org.yuccajunction.testing.platform

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import kotlinx.coroutines.delay
import org.yuccajunction.testing.closeConnection
import org.yuccajunction.testing.respondJson
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val MAXIMUM_VALUE_BYTES = 1_048_576
private const val DEFAULT_WATCH_SECONDS = 20
private val HANG_DURATION = 10.minutes

/** Serves the object API. */
internal fun Route.objectRoutes(state: PlatformState) {
    get("/v1/objects/{key...}") {
        if (call.admitStoreCall(state, "read")) call.answerRead(state)
    }
    get("/v1/objects") {
        if (call.admitStoreCall(state, "list")) {
            call.respondJson(ObjectRows.serializer(), state.objects.list(call.parameters["prefix"].orEmpty()))
        }
    }
    get("/v1/watch") {
        if (call.admitStoreCall(state, "watch")) call.answerWatch(state)
    }
    put("/v1/objects/{key...}") {
        val value = call.receiveText()
        if (call.admitStoreCall(state, "write")) call.answerChange(state, value)
    }
    delete("/v1/objects/{key...}") {
        if (call.admitStoreCall(state, "remove")) call.answerChange(state, null)
    }
}

/** Counts a call of the object API and applies the current faults; returns whether the call is to be executed. */
private suspend fun RoutingCall.admitStoreCall(state: PlatformState, kind: String): Boolean {
    state.countCall(kind)
    val faults = state.faults
    if (faults.objectsDelayMillis > 0) delay(faults.objectsDelayMillis)
    if (faults.objectsHang) {
        delay(HANG_DURATION)
        closeConnection()
        return false
    }
    if (state.faults.objectsUnavailable) {
        response.header(HttpHeaders.RetryAfter, "1")
        respond(HttpStatusCode.ServiceUnavailable)
        return false
    }
    return true
}

private suspend fun RoutingCall.answerRead(state: PlatformState) {
    val row = state.objects.read(key())
    if (row?.value == null) {
        respond(HttpStatusCode.NotFound)
        return
    }
    response.header(HttpHeaders.ETag, "\"${row.version}\"")
    respondText(row.value)
}

private suspend fun RoutingCall.answerWatch(state: PlatformState) {
    val afterVersion = parameters["after"]?.toLongOrNull() ?: 0
    val timeout = (parameters["timeoutSeconds"]?.toIntOrNull() ?: DEFAULT_WATCH_SECONDS).seconds
    val rows = state.objects.watch(parameters["prefix"].orEmpty(), afterVersion, timeout)
    when {
        state.faults.objectsUnavailable -> respond(HttpStatusCode.ServiceUnavailable)
        rows == null -> respond(HttpStatusCode.Gone)
        else -> respondJson(ObjectRows.serializer(), rows)
    }
}

private suspend fun RoutingCall.answerChange(state: PlatformState, value: String?) {
    val expectedVersion = request.headers[HttpHeaders.IfMatch]?.trim('"')?.toLongOrNull()
    val expectsAbsent = request.headers[HttpHeaders.IfNoneMatch] == "*"
    if (expectedVersion == null && !expectsAbsent) {
        respond(HttpStatusCode(428, "Precondition Required"))
        return
    }
    if (value != null && value.toByteArray().size > MAXIMUM_VALUE_BYTES) {
        respond(HttpStatusCode.PayloadTooLarge)
        return
    }
    val version = state.objects.compareAndSet(key(), expectedVersion, value)
    if (state.consumeLostWriteAnswer()) {
        closeConnection()
        return
    }
    if (version == null) {
        respond(HttpStatusCode.PreconditionFailed)
        return
    }
    response.header(HttpHeaders.ETag, "\"$version\"")
    respond(if (value == null) HttpStatusCode.NoContent else HttpStatusCode.OK)
}

private fun RoutingCall.key(): String = parameters.getAll("key").orEmpty().joinToString("/")
