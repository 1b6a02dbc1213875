package org.yuccajunction.integration

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.yuccajunction.entry.EntryStateReport
import org.yuccajunction.model.Endpoint
import java.io.IOException

/**
 * Controls one entry process.
 *
 * @property caller address at which the entry process listens for callers
 * @property callerRoute route of the fault proxy to [caller], null without a fault proxy
 */
class EntryHandle(
    val process: JavaProcess,
    val id: String,
    val availabilityZone: String,
    val caller: Endpoint,
    val peer: Endpoint,
    val operator: Endpoint,
    val callerRoute: RouteHandle?,
    val peerRoute: RouteHandle?,
    val platformRoute: RouteHandle?,
) {
    /** Returns the state that the entry reports at its operator port. */
    fun state(): EntryStateReport = Http.readJson(operator, "/state", EntryStateReport.serializer())

    /** Returns the state that the entry reports, or null when the entry does not answer. */
    fun stateOrNull(): EntryStateReport? =
        try {
            state()
        } catch (_: IOException) {
            null
        }

    fun isReady(): Boolean =
        try {
            Http.send(operator, "GET", "/ready").statusCode() == 200
        } catch (_: IOException) {
            false
        }

    /** Returns the sum of the samples of the metric [name] whose labels hold all of [labels]. */
    fun metric(name: String, vararg labels: String): Double =
        Http.sendOrFail(operator, "GET", "/metrics").lines()
            .filter { it.startsWith("$name{") || it.startsWith("$name ") }
            .filter { line -> labels.all { it in line } }
            .sumOf { it.substringAfterLast(' ').toDouble() }

    /** Returns the answer of the entry to a request for the addresses of all entries. */
    fun addresses(): JsonObject = Http.readJson(caller, "/v1/entries", JsonObject.serializer())

    /** Returns the prefix of request identities whose home is this entry, null when its answer no longer names it. */
    fun identityPrefix(): String? =
        checkNotNull(addresses()["entries"]).jsonArray.map {
            it.jsonObject.getValue("identityPrefix").jsonPrimitive.content
        }
            .firstOrNull { it.startsWith("$id~") }

    /** Returns how long, in seconds, callers may keep the answer of [addresses]. */
    fun keepSeconds(): Long = checkNotNull(addresses()["keepSeconds"]).jsonPrimitive.long
}
