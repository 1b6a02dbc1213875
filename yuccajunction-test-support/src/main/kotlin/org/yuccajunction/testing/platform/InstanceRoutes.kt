package org.yuccajunction.testing.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import org.yuccajunction.capacity.InstanceOrder
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.testing.closeConnection
import org.yuccajunction.testing.receiveJson
import org.yuccajunction.testing.respondJson

/** Serves the instance list and the cloud API. */
internal fun Route.instanceRoutes(state: PlatformState) {
    get("/v1/instances") {
        state.countCall("instances")
        if (state.faults.instancesUnavailable) {
            call.respond(HttpStatusCode.ServiceUnavailable)
        } else {
            call.respondJson(InstanceRows.serializer(), state.instances.read(state.faults.instanceListLagMillis))
        }
    }
    put("/v1/instances/{id}") {
        val instance = call.receiveJson(PlatformInstance.serializer())
        state.instances.update { it + (instance.id to instance) }
        call.respond(HttpStatusCode.OK)
    }
    delete("/v1/instances/{id}") {
        state.instances.update { it - call.instanceId("id") }
        call.respond(HttpStatusCode.NoContent)
    }
    cloudRoutes(state)
}

private fun Route.cloudRoutes(state: PlatformState) {
    put("/v1/cloud/instances/{name}") {
        val order = call.receiveJson(InstanceOrder.serializer())
        if (call.admitCloudCall(state, "start")) call.answerStart(state, order)
    }
    delete("/v1/cloud/instances/{name}") {
        if (call.admitCloudCall(state, "stop")) {
            state.cloud.removeOrder(call.instanceId("name"))
            call.respond(HttpStatusCode.NoContent)
        }
    }
    get("/v1/cloud/instances") {
        if (call.admitCloudCall(state, "orders")) call.respondJson(OrderRows.serializer(), state.cloud.orders())
    }
    get("/v1/cloud/notices") {
        if (call.admitCloudCall(state, "notices")) call.respondJson(NoticeRows.serializer(), state.cloud.notices())
    }
}

private suspend fun RoutingCall.answerStart(state: PlatformState, order: InstanceOrder) {
    if (state.faults.refuseStarts) {
        respond(HttpStatusCode.ServiceUnavailable)
        return
    }
    val isNew = state.cloud.addOrder(order)
    if (state.consumeLostStartAnswer()) {
        closeConnection()
        return
    }
    respond(if (isNew) HttpStatusCode.Created else HttpStatusCode.OK)
}

/** Counts a call of the cloud API; responds with 503 and returns false while the cloud is unavailable. */
private suspend fun RoutingCall.admitCloudCall(state: PlatformState, kind: String): Boolean {
    state.countCall(kind)
    val isUnavailable = state.faults.cloudUnavailable
    if (isUnavailable) respond(HttpStatusCode.ServiceUnavailable)
    return !isUnavailable
}

/** Returns the instance id in the path parameter [parameter]. */
internal fun RoutingCall.instanceId(parameter: String): InstanceId = InstanceId(parameters[parameter].orEmpty())
