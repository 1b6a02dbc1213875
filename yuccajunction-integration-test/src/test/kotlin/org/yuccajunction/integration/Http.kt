package org.yuccajunction.integration

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.yuccajunction.model.Endpoint
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** JSON format of the test harness. */
val harnessJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Sends HTTP calls to simulated services and to the operator ports of entries. */
object Http {
    private val client: HttpClient =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build()

    /** Sends one call and returns the response with the complete body. */
    fun send(
        endpoint: Endpoint,
        method: String,
        target: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
        timeout: Duration = Duration.ofSeconds(10),
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$endpoint$target"))
            .timeout(timeout)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Returns the JSON document at [target]; fails unless the status is 200. */
    fun <T> readJson(endpoint: Endpoint, target: String, serializer: KSerializer<T>): T {
        val response = send(endpoint, "GET", target)
        check(response.statusCode() == 200) { "GET $target at $endpoint: ${response.statusCode()} ${response.body()}" }
        return harnessJson.decodeFromString(serializer, response.body())
    }

    /** Sends [value] as JSON and returns the response body; fails unless the status is 2xx. */
    fun <T> writeJson(
        endpoint: Endpoint,
        method: String,
        target: String,
        serializer: KSerializer<T>,
        value: T,
    ): String =
        sendOrFail(endpoint, method, target, harnessJson.encodeToString(serializer, value))

    /** Sends one call and returns the response body; fails unless the status is 2xx. */
    fun sendOrFail(endpoint: Endpoint, method: String, target: String, body: String = ""): String {
        val response = send(endpoint, method, target, body)
        check(response.statusCode() in 200..299) { "$method $target: ${response.statusCode()} ${response.body()}" }
        return response.body()
    }
}
