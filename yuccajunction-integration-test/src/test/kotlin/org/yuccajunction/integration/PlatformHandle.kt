package org.yuccajunction.integration

import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.testing.platform.CallCounts
import org.yuccajunction.testing.platform.PlatformFaults

/** The platform stand-in, as tests drive it. */
class PlatformHandle(val process: JavaProcess, val endpoint: Endpoint) {
    /** Replaces all faults. */
    fun setFaults(faults: PlatformFaults) {
        Http.writeJson(endpoint, "POST", "/admin/faults", PlatformFaults.serializer(), faults)
    }

    /** Counts of calls by kind. */
    fun callCounts(): Map<String, Long> = Http.readJson(endpoint, "/admin/calls", CallCounts.serializer()).calls

    /** Keeps the state of the objects for [restore]. */
    fun snapshot() {
        Http.sendOrFail(endpoint, "POST", "/admin/snapshot")
    }

    /** Puts the objects back to the last [snapshot]. */
    fun restore() {
        Http.sendOrFail(endpoint, "POST", "/admin/restore")
    }

    /** Forgets the history of changes, so that watches have to list anew. */
    fun compact() {
        Http.sendOrFail(endpoint, "POST", "/admin/compact")
    }

    /** Announces that the platform takes an instance back. */
    fun announceReclaim(instance: String, remainingMillis: Long) {
        val notice = ReclaimNotice(InstanceId(instance), remainingMillis)
        Http.writeJson(endpoint, "PUT", "/admin/notices", ReclaimNotice.serializer(), notice)
    }

    /** Marks an instance as leaving in the instance list. */
    fun markLeaving(instance: String) {
        Http.sendOrFail(endpoint, "POST", "/admin/leaving/$instance")
    }

    /** Adds or replaces a row of the instance list. */
    fun register(instance: PlatformInstance) {
        Http.writeJson(endpoint, "PUT", "/v1/instances/${instance.id}", PlatformInstance.serializer(), instance)
    }

    /** Removes a row of the instance list. */
    fun remove(instance: String) {
        Http.sendOrFail(endpoint, "DELETE", "/v1/instances/$instance")
    }

    /** Reads an object; returns null where there is none. */
    fun readObject(key: String): VersionedText? {
        val response = Http.send(endpoint, "GET", "/v1/objects/$key")
        if (response.statusCode() == 404) return null
        return VersionedText(response.headers().firstValue("ETag").get().trim('"').toLong(), response.body())
    }

    /** Writes an object whatever its version is. */
    fun writeObject(key: String, value: String) {
        val version = readObject(key)?.version
        val condition = if (version == null) "If-None-Match" to "*" else "If-Match" to "\"$version\""
        val response = Http.send(endpoint, "PUT", "/v1/objects/$key", value, mapOf(condition))
        check(response.statusCode() == 200) { "PUT $key: ${response.statusCode()}" }
    }
}

/** The text of an object and its version. */
data class VersionedText(val version: Long, val text: String)
