package org.yuccajunction.integration

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.yuccajunction.model.Endpoint
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** JSON as the harness reads and writes it. */
val harnessJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Short HTTP calls to stand-ins and operator ports. */
object Http {
    private val client: HttpClient =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build()

    /** Sends one call and returns its whole answer. */
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

    /** Reads [target] as JSON. */
    fun <T> readJson(endpoint: Endpoint, target: String, serializer: KSerializer<T>): T {
        val response = send(endpoint, "GET", target)
        check(response.statusCode() == 200) { "$target: ${response.statusCode()} ${response.body()}" }
        return harnessJson.decodeFromString(serializer, response.body())
    }

    /** Sends [value] as JSON and expects success. */
    fun <T> writeJson(
        endpoint: Endpoint,
        method: String,
        target: String,
        serializer: KSerializer<T>,
        value: T,
    ): String =
        sendOrFail(endpoint, method, target, harnessJson.encodeToString(serializer, value))

    /** Sends a call that has to succeed and returns the body of its answer. */
    fun sendOrFail(endpoint: Endpoint, method: String, target: String, body: String = ""): String {
        val response = send(endpoint, method, target, body)
        check(response.statusCode() in 200..299) { "$method $target: ${response.statusCode()} ${response.body()}" }
        return response.body()
    }
}
