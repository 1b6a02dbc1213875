package org.yuccajunction.entry.serving

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.utils.io.readAvailable
import kotlinx.serialization.json.Json
import java.io.ByteArrayOutputStream

internal const val REQUEST_ID_HEADER = "Yucca-Request-Id"

internal val WIRE_JSON = Json {
    encodeDefaults = true
    ignoreUnknownKeys = true
}

/** Responds with [problem], and with its retry delay in the `Retry-After` header. */
internal suspend fun ApplicationCall.respondProblem(problem: ProblemDocument) {
    problem.retryAfterSeconds?.let { response.header(HttpHeaders.RetryAfter, it.toString()) }
    val status = HttpStatusCode.fromValue(problem.status)
    respondText(WIRE_JSON.encodeToString(problem), ContentType.Application.ProblemJson, status)
}

/** Returns the request body; null if it is longer than [limit] bytes. */
internal suspend fun ApplicationCall.readBody(limit: Int): ByteArray? {
    val contentLength = request.contentLength()
    if (contentLength != null && contentLength > limit) return null
    val channel = receiveChannel()
    val body = ByteArrayOutputStream()
    val buffer = ByteArray(BUFFER_BYTES)
    while (body.size() <= limit) {
        val read = channel.readAvailable(buffer)
        if (read < 0) return body.toByteArray()
        body.write(buffer, 0, read)
    }
    return null
}

/** Responds with an application's answer, without the headers that the server sets by itself. */
internal suspend fun ApplicationCall.respondAnswer(
    status: Int,
    headers: List<org.yuccajunction.model.Header>,
    body: ByteArray,
) {
    val type = headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }?.value
    headers
        .filterNot { HttpHeaders.isUnsafe(it.name) || it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
        .forEach { response.headers.append(it.name, it.value) }
    respondBytes(body, type?.let(ContentType::parse), HttpStatusCode.fromValue(status))
}

private const val BUFFER_BYTES = 8_192
