package org.yuccajunction.caller

import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.model.Header
import java.net.ConnectException
import java.net.NoRouteToHostException

/** Sends requests to entries and returns the result of each exchange; a failure is a result, not an exception. */
internal class EntryClient(private val client: HttpClient, private val settings: CallerSettings) {
    /** Calls an application through the entry at [address], with the idle timeout for the whole exchange. */
    suspend fun call(address: String, call: CallerCall, identity: RequestIdentity): ExchangeResult =
        brokenOnFailure {
            withTimeoutOrNull(settings.idleTimeout) {
                client.prepareRequest("http://$address/apps/${call.application}${call.target}") {
                    method = HttpMethod.parse(call.method)
                    call.headers.forEach { header(it.name, it.value) }
                    setIdentity(identity)
                    setBody(call.body)
                }.execute { it.toExchangeResult() }
            } ?: ExchangeResult.Broken(mayHaveReachedEntry = true, "no whole answer within ${settings.idleTimeout}")
        }

    /** Requests a streamed answer through the entry at [address]; [read] consumes a response with status 200. */
    suspend fun stream(
        address: String,
        body: String,
        identity: RequestIdentity,
        lastEventId: String?,
        read: suspend (HttpResponse) -> ExchangeResult,
    ): ExchangeResult =
        brokenOnFailure {
            client.prepareRequest("http://$address/v1/chat/completions") {
                method = HttpMethod.Post
                contentType(ContentType.Application.Json)
                setIdentity(identity)
                lastEventId?.let { header("Last-Event-ID", it) }
                setBody(body)
            }.execute { response -> if (response.status.value == OK) read(response) else response.toExchangeResult() }
        }

    private fun HttpRequestBuilder.setIdentity(identity: RequestIdentity) {
        bearerAuth(settings.workspaceKey)
        identity.text?.let { header("Yucca-Request-Id", it) }
    }

    private suspend fun HttpResponse.toExchangeResult(): ExchangeResult {
        val bytes = bodyAsBytes()
        val length = headers["Content-Length"]?.toLongOrNull()
        if (length != null && length != bytes.size.toLong()) {
            return ExchangeResult.Broken(mayHaveReachedEntry = true, "truncated answer: ${bytes.size} of $length bytes")
        }
        val problem = if (isProblem()) problem(bytes) else null
        if (problem != null) return ExchangeResult.Problematic(problem, status.value)
        val fields = headers.entries().flatMap { (name, values) -> values.map { Header(name, it) } }
        return ExchangeResult.Answered(status.value, fields, bytes)
    }

    private fun HttpResponse.isProblem(): Boolean =
        headers["Content-Type"]?.startsWith(ContentType.Application.ProblemJson.toString()) == true

    private fun problem(bytes: ByteArray): Problem? =
        try {
            JSON.decodeFromString<Problem>(bytes.decodeToString())
        } catch (_: SerializationException) {
            null
        }

    private suspend fun brokenOnFailure(exchange: suspend () -> ExchangeResult): ExchangeResult =
        try {
            exchange()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            ExchangeResult.Broken(!failure.isConnectFailure(), failure.toString())
        }

    private companion object {
        const val OK = 200
        val JSON = Json { ignoreUnknownKeys = true }
    }
}

private fun Throwable.isConnectFailure(): Boolean =
    generateSequence(this) { it.cause }.take(CAUSE_DEPTH_LIMIT).any {
        it is ConnectException || it is ConnectTimeoutException || it is NoRouteToHostException
    }

private const val CAUSE_DEPTH_LIMIT = 8
