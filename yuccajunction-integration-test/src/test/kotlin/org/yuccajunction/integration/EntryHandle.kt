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
 * One entry.
 *
 * @property caller where the entry itself listens for callers
 * @property callerRoute the fault proxy's route before the callers' port, null where there is none
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
    /** What the entry believes. */
    fun state(): EntryStateReport = Http.readJson(operator, "/state", EntryStateReport.serializer())

    /** What the entry believes, or null when it does not answer. */
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

    /** Asks the entry for the addresses to use. */
    fun addresses(): JsonObject = Http.readJson(caller, "/v1/entries", JsonObject.serializer())

    /** Returns the start of the identities whose home is this entry, null where its address answer names it no more. */
    fun identityPrefix(): String? =
        checkNotNull(addresses()["entries"]).jsonArray.map {
            it.jsonObject.getValue("identityPrefix").jsonPrimitive.content
        }
            .firstOrNull { it.startsWith("$id~") }

    /** How long, in seconds, the entry's address answer may be kept. */
    fun keepSeconds(): Long = checkNotNull(addresses()["keepSeconds"]).jsonPrimitive.long
}
