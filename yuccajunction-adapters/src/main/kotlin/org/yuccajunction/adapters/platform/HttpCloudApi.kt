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
import org.yuccajunction.capacity.InstanceOrder
import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceId
import org.yuccajunction.port.CloudApi
import org.yuccajunction.port.StartOutcome

/** Calls the cloud API over HTTP, as docs/PLATFORM.md describes it. */
public class HttpCloudApi(private val client: HttpClient, private val endpoint: Endpoint) : CloudApi {
    override suspend fun start(order: InstanceOrder): StartOutcome =
        outcomeOf {
            val body = JSON.encodeToString(InstanceOrder.serializer(), order)
            outcome(client.put(url("instances/${order.name}")) { setBody(body) }.status)
        }.valueOr { if (it.mayHaveBeenSent) StartOutcome.UNKNOWN else StartOutcome.REFUSED }

    override suspend fun stop(instance: InstanceId): Boolean =
        outcomeOf { client.delete(url("instances/$instance")).status.isSuccess() }.valueOr { false }

    override suspend fun readReclaimNotices(): PersistentList<ReclaimNotice>? =
        outcomeOf {
            val response = client.get(url("notices"))
            if (response.status == HttpStatusCode.OK) decode(response.bodyAsText()) else null
        }.valueOr { null }

    private fun url(path: String): String = "http://$endpoint/v1/cloud/$path"

    private fun decode(body: String): PersistentList<ReclaimNotice> =
        JSON.decodeFromString(NoticesBody.serializer(), body).notices.toPersistentList()

    private fun outcome(status: HttpStatusCode): StartOutcome =
        when (status) {
            HttpStatusCode.OK, HttpStatusCode.Created -> StartOutcome.STARTED
            HttpStatusCode.ServiceUnavailable, HttpStatusCode.TooManyRequests -> StartOutcome.REFUSED
            else -> StartOutcome.UNKNOWN
        }

    private companion object {
        val JSON = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }
    }
}

@Serializable
private data class NoticesBody(val notices: List<ReclaimNotice>)
