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
import org.yuccajunction.adapters.engine.isConnectFailure
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.Header
import org.yuccajunction.model.LoadReport
import org.yuccajunction.port.Application
import org.yuccajunction.port.ApplicationCall
import org.yuccajunction.port.ApplicationOutcome
import kotlin.time.Duration.Companion.seconds

/** Reaches plain applications over HTTP/1.1, one exchange a connection. */
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
        if (echoed != null && echoed != call.attemptId) return ApplicationOutcome.Unclear("another call's answer came")
        if (response.isRejected()) {
            return ApplicationOutcome.NotRun("the application answered ${response.status.value} without running", false)
        }
        if (!response.isComplete(call, body)) return ApplicationOutcome.Unclear("the answer is not whole")
        return ApplicationOutcome.Answered(response.status.value, response.endToEndHeaders(), body)
    }

    override suspend fun report(endpoint: Endpoint): LoadReport? =
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

/** An answer whose end is marked by nothing but the end of the connection can't be told from a truncated one. */
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
        ApplicationOutcome.NotRun("the application can't be connected to", unreachable = true)
    } else {
        ApplicationOutcome.Unclear("the connection broke: ${this::class.simpleName}")
    }
