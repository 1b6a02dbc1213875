package org.yuccajunction.adapters.platform

import io.ktor.client.HttpClient
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.port.InstanceList

/** Calls the platform's instance list over HTTP, as docs/PLATFORM.md describes it. */
public class HttpInstanceList(private val client: HttpClient, private val endpoint: Endpoint) : InstanceList {
    override suspend fun read(): PersistentList<PlatformInstance>? =
        outcomeOf {
            val response = client.get(url())
            if (response.status == HttpStatusCode.OK) decode(response.bodyAsText()) else null
        }.valueOr { null }

    /** Adds [instance] or replaces the one with its id; returns whether the platform confirmed the change. */
    public suspend fun register(instance: PlatformInstance): Boolean =
        outcomeOf {
            val body = JSON.encodeToString(PlatformInstance.serializer(), instance)
            client.put(url(instance.id)) { setBody(body) }.status.isSuccess()
        }.valueOr { false }

    /** Removes [instance] from the list; returns whether the platform confirmed the removal. */
    public suspend fun deregister(instance: InstanceId): Boolean =
        outcomeOf { client.delete(url(instance)).status.isSuccess() }.valueOr { false }

    private fun url(): String = "http://$endpoint/v1/instances"

    private fun url(instance: InstanceId): String = "${url()}/$instance"

    private fun decode(body: String): PersistentList<PlatformInstance> =
        JSON.decodeFromString(InstancesBody.serializer(), body).instances.toPersistentList()

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}

@Serializable
private data class InstancesBody(val instances: List<PlatformInstance>)
