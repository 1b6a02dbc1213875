package org.yuccajunction.entry.serving

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.routing.EntryAddress
import org.yuccajunction.traffic.AddressOrder

/** Serves `GET /v1/entries`. */
internal class AddressHandler(private val state: ServingState) {
    suspend fun handle(call: ApplicationCall) {
        val zone = call.request.queryParameters["availabilityZone"]?.takeIf { it.isNotBlank() }?.let(::AvailabilityZone)
        call.respondText(WIRE_JSON.encodeToString(addressAnswer(zone)), ContentType.Application.Json)
    }

    fun addressAnswer(zone: AvailabilityZone?): AddressAnswer {
        val table = state.context.table()
        val listedEntries = table.entries.filter {
            it.entry != state.context.self || state.phase == ServingPhase.SERVING
        }
        val entries = AddressOrder.of(listedEntries, zone, state.context.random).map { it.toAnsweredEntry() }
        return AddressAnswer(entries, table.addressAnswerSeconds, entries.firstOrNull()?.identityPrefix)
    }

    private fun EntryAddress.toAnsweredEntry(): AnsweredEntry {
        val epoch = if (entry == state.context.self) state.requestIds.epoch else identityEpoch
        return AnsweredEntry(callerEndpoint.toString(), availabilityZone.value, "$entry~$epoch")
    }
}
