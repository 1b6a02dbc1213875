package org.yuccajunction.testing.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.testing.receiveJson
import org.yuccajunction.testing.respondJson

/** Serves the calls by which tests set faults, snapshots, notices and leaving instances. */
internal fun Route.platformAdminRoutes(state: PlatformState) {
    post("/admin/faults") {
        state.faults = call.receiveJson(PlatformFaults.serializer())
        call.respond(HttpStatusCode.OK)
    }
    get("/admin/calls") { call.respondJson(CallCounts.serializer(), state.callCounts()) }
    post("/admin/snapshot") {
        state.snapshot = state.objects.list("")
        call.respond(HttpStatusCode.OK)
    }
    post("/admin/restore") {
        state.objects.restore(state.snapshot)
        call.respond(HttpStatusCode.OK)
    }
    post("/admin/compact") {
        state.objects.compact()
        call.respond(HttpStatusCode.OK)
    }
    post("/admin/leaving/{id}") {
        val id = call.instanceId("id")
        state.instances.update { rows -> rows[id]?.let { rows + (id to it.copy(leaving = true)) } ?: rows }
        call.respond(HttpStatusCode.OK)
    }
    put("/admin/notices") {
        state.cloud.addNotice(call.receiveJson(ReclaimNotice.serializer()))
        call.respond(HttpStatusCode.OK)
    }
    delete("/admin/notices/{id}") {
        state.cloud.removeNotice(call.instanceId("id"))
        call.respond(HttpStatusCode.OK)
    }
}
