package org.yuccajunction.integration

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.yuccajunction.model.Endpoint
import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Request for a chat completion of [tokens] tokens. */
data class DraftOrder(val prompt: String, val tokens: Int, val model: String = "talker-llm")

/**
 * Result of one attempt to get a stream.
 *
 * @property status HTTP status, 0 when no response arrived
 */
class DraftAttempt(val status: Int, val events: StreamEvents, val problem: JsonObject?, val connectionError: String?) {
    val isWhole: Boolean get() = status == 200 && events.isDone

    /** Whether the answer says that no backend server executed the request. */
    val isNotRun: Boolean get() = problem.isNotRun()
}

/** Result of one call to an application; [status] is 0 when no response arrived. */
class CallAttempt(val status: Int, val body: String, val requestId: String?, val problem: JsonObject?) {
    val isNotRun: Boolean get() = problem.isNotRun()

    /** `refused`, `failed` or `unknown`; null when the application itself answered or no response arrived. */
    val outcome: String? get() = problem?.get("outcome")?.jsonPrimitive?.contentOrNull
}

private fun JsonObject?.isNotRun(): Boolean = (this?.get("notRun") as? JsonPrimitive)?.booleanOrNull == true

/**
 * Sends single attempts, without retries, to entries that the test chooses.
 *
 * @property timeout longest wait for the start of a response
 * @property idleTimeout longest time without a token of a stream before the caller closes the connection
 */
class TestCaller(
    private val key: String,
    private val timeout: Duration = Duration.ofSeconds(30),
    private val idleTimeout: Duration = Duration.ofSeconds(10),
) {
    private val client: HttpClient =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build()

    /**
     * Requests a stream from [entry] and reads it to the end.
     *
     * @param lastEventId identity of the last event of an earlier attempt, after which the entry resumes the stream
     * @param receivedText text received up to [lastEventId]
     */
    fun draft(
        entry: Endpoint,
        order: DraftOrder,
        requestId: String? = null,
        lastEventId: String? = null,
        receivedText: String = "",
        onToken: (StreamEvents) -> Unit = {},
    ): DraftAttempt {
        val headers = listOfNotNull(
            requestId?.let { "Yucca-Request-Id" to it },
            lastEventId?.let { "Last-Event-ID" to it },
        ).toMap()
        val request = request(entry, "POST", "/v1/chat/completions", body(order, receivedText), headers)
        val events = StreamEvents()
        return try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofInputStream())
            readDraft(response, events, onToken)
        } catch (exception: IOException) {
            DraftAttempt(0, events, null, exception.toString())
        }
    }

    /** Calls [target] of the application [service] at [entry]. */
    fun call(
        entry: Endpoint,
        service: String,
        method: String,
        target: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): CallAttempt {
        val request = request(entry, method, "/apps/$service$target", body, headers)
        return try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofString())
            val id = response.headers().firstValue("Yucca-Request-Id").orElse(null)
            CallAttempt(response.statusCode(), response.body(), id, problem(response, response.body()))
        } catch (exception: IOException) {
            CallAttempt(0, exception.toString(), null, null)
        }
    }

    private fun readDraft(
        response: HttpResponse<InputStream>,
        events: StreamEvents,
        onToken: (StreamEvents) -> Unit,
    ): DraftAttempt {
        if (response.statusCode() != 200) {
            val text = response.body().bufferedReader().readText()
            return DraftAttempt(response.statusCode(), events, problem(response, text), null)
        }
        val watch = IdleTimeoutWatch(response.body(), idleTimeout)
        watch.use {
            events.read(response.body().bufferedReader().lines()) { watch.recordActivity().also { onToken(events) } }
        }
        return DraftAttempt(200, events, events.problem, events.connectionError)
    }

    private fun problem(response: HttpResponse<*>, text: String): JsonObject? {
        val type = response.headers().firstValue("Content-Type").orElse("")
        if ("problem+json" !in type) return null
        return harnessJson.decodeFromString(JsonObject.serializer(), text)
    }

    private fun request(
        entry: Endpoint,
        method: String,
        target: String,
        body: String,
        headers: Map<String, String>,
    ): HttpRequest {
        val builder = HttpRequest.newBuilder(URI("http://$entry$target"))
            .timeout(timeout)
            .header("Authorization", "Bearer $key")
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.build()
    }

    private fun body(order: DraftOrder, receivedText: String): String =
        buildJsonObject {
            put("model", order.model)
            put("stream", true)
            put("max_tokens", order.tokens)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", order.prompt)
                }
                if (receivedText.isNotEmpty()) {
                    addJsonObject {
                        put("role", "assistant")
                        put("content", receivedText)
                    }
                }
            }
            if (receivedText.isNotEmpty()) {
                put("continue_final_message", true)
                put("add_generation_prompt", false)
            }
        }.toString()
}
