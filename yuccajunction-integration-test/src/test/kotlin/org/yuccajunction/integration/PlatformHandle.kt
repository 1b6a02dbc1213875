package org.yuccajunction.integration

import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.testing.platform.CallCounts
import org.yuccajunction.testing.platform.PlatformFaults

/** Controls the simulated platform. */
class PlatformHandle(val process: JavaProcess, val endpoint: Endpoint) {
    /** Sets the faults and ends all earlier ones. */
    fun setFaults(faults: PlatformFaults) {
        Http.writeJson(endpoint, "POST", "/admin/faults", PlatformFaults.serializer(), faults)
    }

    /** Returns the number of calls by kind. */
    fun callCounts(): Map<String, Long> = Http.readJson(endpoint, "/admin/calls", CallCounts.serializer()).calls

    /** Saves all objects for [restore]. */
    fun snapshot() {
        Http.sendOrFail(endpoint, "POST", "/admin/snapshot")
    }

    /** Replaces all objects by those of the last [snapshot]. */
    fun restore() {
        Http.sendOrFail(endpoint, "POST", "/admin/restore")
    }

    /** Discards the history of changes, so that watchers have to list all objects again. */
    fun compact() {
        Http.sendOrFail(endpoint, "POST", "/admin/compact")
    }

    /** Announces that the platform takes back an instance in [remainingMillis]. */
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

    /** Returns the object at [key], or null when there is none. */
    fun readObject(key: String): VersionedText? {
        val response = Http.send(endpoint, "GET", "/v1/objects/$key")
        if (response.statusCode() == 404) return null
        return VersionedText(response.headers().firstValue("ETag").get().trim('"').toLong(), response.body())
    }

    /** Writes the object at [key] over its current version; fails when another write comes between. */
    fun writeObject(key: String, value: String) {
        val version = readObject(key)?.version
        val condition = if (version == null) "If-None-Match" to "*" else "If-Match" to "\"$version\""
        val response = Http.send(endpoint, "PUT", "/v1/objects/$key", value, mapOf(condition))
        check(response.statusCode() == 200) { "PUT $key: ${response.statusCode()} ${response.body()}" }
    }
}

/** Text of an object with its version. */
data class VersionedText(val version: Long, val text: String)
