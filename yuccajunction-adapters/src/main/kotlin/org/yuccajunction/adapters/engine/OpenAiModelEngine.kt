package org.yuccajunction.adapters.engine

import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.core.readText
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.yuccajunction.adapters.http.AnswerClient
import org.yuccajunction.adapters.http.isConnectFailure
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.LoadReport
import org.yuccajunction.port.EngineEvent
import org.yuccajunction.port.EngineRequest
import org.yuccajunction.port.ModelEngine
import org.yuccajunction.port.ServerOrder
import kotlin.time.Duration.Companion.seconds

/** Calls model engines with the OpenAI chat completion protocol over HTTP/1.1. */
public class OpenAiModelEngine(private val client: HttpClient) : ModelEngine {
    override suspend fun generate(
        endpoint: Endpoint,
        request: EngineRequest,
        onEvent: suspend (EngineEvent) -> Unit,
    ) {
        var last: EngineEvent? = null
        val relay: suspend (EngineEvent) -> Unit = { event ->
            last = event
            onEvent(event)
        }
        try {
            client.preparePost("http://$endpoint/v1/chat/completions") { setGenerationRequest(request) }
                .execute { response -> relayResponse(response, request, relay) }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            if (last?.endsStream() != true) onEvent(failure.asEngineEvent())
        }
    }

    private fun HttpRequestBuilder.setGenerationRequest(request: EngineRequest) {
        AnswerClient.expectStream(this)
        contentType(ContentType.Application.Json)
        header("X-Request-Id", request.attemptId)
        header("X-Priority", request.requestClass.ordinal)
        if (request.generatedTokens > 0) header("X-Generated-Tokens", request.generatedTokens)
        request.kvHandle?.let { header("X-Kv-Handle", it) }
        setBody(request.engineBody().toString())
    }

    private suspend fun relayResponse(
        response: HttpResponse,
        request: EngineRequest,
        relay: suspend (EngineEvent) -> Unit,
    ) {
        if (response.status != HttpStatusCode.OK) return relay(response.toFailureEvent())
        relay(EngineEvent.Accepted)
        val reader = EngineStreamReader(request)
        val channel = response.bodyAsChannel()
        while (true) {
            val line = channel.readUTF8Line(LINE_LIMIT_CHARS) ?: break
            val event = reader.read(line) ?: continue
            relay(event)
            if (event.endsStream()) return
        }
        relay(EngineEvent.Broken("the stream ended without the end marker [DONE]"))
    }

    private suspend fun HttpResponse.toFailureEvent(): EngineEvent {
        val notRun = headers["X-Not-Run"].equals("true", ignoreCase = true)
        if (notRun) return EngineEvent.Rejected("the engine rejected the request with status ${status.value}", false)
        val detail = bodyAsChannel().readRemaining(DETAIL_LIMIT_BYTES).readText()
        return EngineEvent.Failed(status.value, detail)
    }

    override suspend fun readLoadReport(endpoint: Endpoint): LoadReport? =
        callOrNull {
            val response = client.get("http://$endpoint/load")
            if (response.status == HttpStatusCode.OK) JSON.decodeFromString(response.bodyAsText()) else null
        }

    override suspend fun sendOrder(endpoint: Endpoint, order: ServerOrder, fencingNumber: FencingNumber): Boolean? =
        callOrNull {
            val body =
                buildJsonObject {
                    put("order", JSON.encodeToJsonElement(order))
                    put("fencingNumber", fencingNumber.value)
                }
            when (client.postJson("http://$endpoint/v1/orders", body.toString()).status) {
                HttpStatusCode.OK -> true
                HttpStatusCode.Conflict -> false
                else -> null
            }
        }

    override suspend fun exportKvCache(endpoint: Endpoint, attemptId: String): String? =
        callOrNull {
            val body = buildJsonObject { put("attemptId", attemptId) }
            val response = client.postJson("http://$endpoint/v1/kv/export", body.toString())
            if (response.status != HttpStatusCode.OK) return@callOrNull null
            JSON.parseToJsonElement(response.bodyAsText()).jsonObject["handle"]?.jsonPrimitive?.content
        }

    override suspend fun importKvCache(endpoint: Endpoint, handle: String): Boolean =
        callOrNull {
            val body = buildJsonObject { put("handle", handle) }
            client.postJson("http://$endpoint/v1/kv/import", body.toString()).status == HttpStatusCode.OK
        } ?: false

    private suspend fun <T> callOrNull(call: suspend () -> T?): T? =
        try {
            withTimeoutOrNull(CALL_TIMEOUT) { call() }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (_: Exception) {
            null
        }

    private companion object {
        const val LINE_LIMIT_CHARS = 1_048_576
        const val DETAIL_LIMIT_BYTES = 500L
        val CALL_TIMEOUT = 2.seconds
        val JSON = Json { ignoreUnknownKeys = true }
    }
}

private suspend fun HttpClient.postJson(url: String, body: String): HttpResponse =
    post(url) {
        contentType(ContentType.Application.Json)
        setBody(body)
    }

private fun Throwable.asEngineEvent(): EngineEvent =
    if (isConnectFailure()) {
        EngineEvent.Rejected("connecting to the engine failed", unreachable = true)
    } else {
        EngineEvent.Broken("the connection to the engine broke: ${this::class.simpleName}")
    }

private fun EngineEvent.endsStream(): Boolean =
    this !is EngineEvent.Accepted && this !is EngineEvent.Token
