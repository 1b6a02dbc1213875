package org.yuccajunction.adapters.application

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.yuccajunction.adapters.http.isConnectFailure
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.Header
import org.yuccajunction.model.LoadReport
import org.yuccajunction.port.Application
import org.yuccajunction.port.ApplicationCall
import org.yuccajunction.port.ApplicationOutcome
import kotlin.time.Duration.Companion.seconds

/** Calls applications over HTTP/1.1, with a new connection for each exchange. */
public class HttpApplication(private val client: HttpClient) : Application {
    override suspend fun call(endpoint: Endpoint, call: ApplicationCall): ApplicationOutcome =
        try {
            exchange(endpoint, call)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            failure.asOutcome()
        }

    private suspend fun exchange(endpoint: Endpoint, call: ApplicationCall): ApplicationOutcome =
        client.prepareRequest("http://$endpoint${call.target}") {
            method = HttpMethod.parse(call.method)
            call.headers.filter { it.isForwarded() }.forEach { headers.append(it.name, it.value) }
            headers["X-Request-Id"] = call.requestId
            headers["X-Attempt-Id"] = call.attemptId
            setBody(call.toRequestContent())
        }.execute { response -> outcome(response, call) }

    private suspend fun outcome(response: HttpResponse, call: ApplicationCall): ApplicationOutcome {
        val body = response.bodyAsBytes()
        val echoed = response.headers["X-Attempt-Id"]
        if (echoed != null && echoed != call.attemptId) {
            return ApplicationOutcome.Unknown("the application sent the answer to another attempt")
        }
        if (response.isRejected()) {
            return ApplicationOutcome.NotExecuted(
                "the application rejected the call with ${response.status.value}",
                false,
            )
        }
        if (!response.isComplete(call, body)) return ApplicationOutcome.Unknown("the answer is incomplete")
        return ApplicationOutcome.Answered(response.status.value, response.endToEndHeaders(), body)
    }

    override suspend fun readLoadReport(endpoint: Endpoint): LoadReport? =
        try {
            withTimeoutOrNull(REPORT_TIMEOUT) {
                val response = client.get("http://$endpoint/load")
                if (response.status == HttpStatusCode.OK) JSON.decodeFromString(response.bodyAsText()) else null
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (_: Exception) {
            null
        }

    private companion object {
        val REPORT_TIMEOUT = 2.seconds
        val JSON = Json { ignoreUnknownKeys = true }
    }
}

private val CONTENT_HEADERS = setOf("content-type", "content-length")
private val ENTRY_HEADERS = setOf("x-attempt-id", "x-not-run")
private val HOP_BY_HOP_HEADERS =
    setOf("connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection")

private fun Header.isForwarded(): Boolean {
    val lower = name.lowercase()
    return lower !in CONTENT_HEADERS && lower !in HOP_BY_HOP_HEADERS && lower != "host"
}

private fun ApplicationCall.toRequestContent(): ByteArrayContent {
    val type = headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }?.value
    return ByteArrayContent(body, type?.let(ContentType::parse))
}

private fun HttpResponse.isRejected(): Boolean =
    status == HttpStatusCode.ServiceUnavailable && headers["X-Not-Run"].equals("true", ignoreCase = true)

/**
 * Returns whether the whole answer arrived. An answer without a length or chunked encoding counts as incomplete, since
 * it ends with the connection and can't be told from a truncated answer.
 */
private fun HttpResponse.isComplete(call: ApplicationCall, body: ByteArray): Boolean {
    if (call.method == "HEAD" || status == HttpStatusCode.NoContent || status == HttpStatusCode.NotModified) return true
    val chunked = headers["Transfer-Encoding"]?.contains("chunked", ignoreCase = true) == true
    return chunked || headers["Content-Length"]?.toLongOrNull() == body.size.toLong()
}

private fun HttpResponse.endToEndHeaders(): List<Header> =
    headers.entries()
        .filter { (name, _) ->
            name.lowercase().let { it !in HOP_BY_HOP_HEADERS && it !in ENTRY_HEADERS && it != "content-length" }
        }
        .flatMap { (name, values) -> values.map { Header(name, it) } }

private fun Throwable.asOutcome(): ApplicationOutcome =
    if (isConnectFailure()) {
        ApplicationOutcome.NotExecuted("connecting to the application failed", unreachable = true)
    } else {
        ApplicationOutcome.Unknown("the connection to the application broke: ${this::class.simpleName}")
    }
