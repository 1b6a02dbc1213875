package org.yuccajunction.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.CancellationException
import org.yuccajunction.model.Endpoint
import java.io.IOException

private const val MAXIMUM_CONNECTIONS = 4_096
private const val HTTP_OK = 200

/**
 * Sends requests over HTTP to [endpoints] in rotation.
 *
 * @property isDirect whether the endpoints are backend servers rather than entries
 */
public class HttpTarget(private val endpoints: List<Endpoint>, private val isDirect: Boolean) :
    LoadTarget,
    AutoCloseable {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        engine {
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
            requestTimeout = 0
        }
    }

    override suspend fun perform(request: ScheduledRequest, onToken: () -> Unit): Outcome {
        val endpoint = endpoints[request.number % endpoints.size]
        return try {
            client.prepareRequest { buildRequest(endpoint, request) }.execute { response ->
                when {
                    response.status.value != HTTP_OK -> errorOutcome(response)
                    request.shape.isStream -> readStream(response, request.shape.tokens, onToken)
                    else -> readAnswer(response, onToken)
                }
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: IOException) {
            Outcome.BROKEN
        }
    }

    override fun close(): Unit = client.close()

    private fun HttpRequestBuilder.buildRequest(endpoint: Endpoint, request: ScheduledRequest) {
        val shape = request.shape
        val path = when {
            shape.isStream -> "/v1/chat/completions"
            isDirect -> shape.path
            else -> "/apps/${shape.service}${shape.path}"
        }
        method = if (shape.isStream) HttpMethod.Post else HttpMethod.parse(shape.method)
        url("http://$endpoint$path")
        header(HttpHeaders.ContentType, "application/json")
        if (isDirect) {
            header("X-Request-Id", "direct-${request.number}")
        } else {
            header(HttpHeaders.Authorization, "Bearer ${request.workspace.key}")
        }
        if (shape.isStream) {
            setBody(completionBody(request).toString())
        } else if (shape.method != "GET") {
            setBody(request.prompt)
        }
    }

    private suspend fun readStream(response: HttpResponse, tokens: Int, onToken: () -> Unit): Outcome {
        val channel = response.bodyAsChannel()
        var received = 0
        while (true) {
            val line = channel.readUTF8Line() ?: return Outcome.BROKEN
            when {
                line == "data: [DONE]" -> return if (received == tokens) Outcome.WHOLE else Outcome.BROKEN
                line.startsWith("event: error") -> return Outcome.FAILED
                "\"content\"" in line -> {
                    received += 1
                    onToken()
                }
            }
        }
    }

    private suspend fun readAnswer(response: HttpResponse, onToken: () -> Unit): Outcome {
        response.bodyAsText()
        onToken()
        return Outcome.WHOLE
    }

    private suspend fun errorOutcome(response: HttpResponse): Outcome {
        val body = response.bodyAsText()
        return when {
            "\"notRun\":true" in body || response.headers["X-Not-Run"] == "true" -> Outcome.REFUSED
            "\"outcome\":\"unknown\"" in body -> Outcome.UNKNOWN
            else -> Outcome.FAILED
        }
    }
}
