package org.yuccajunction.ctl

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.yuccajunction.operator.OperatorProblem
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import javax.net.ssl.X509TrustManager

/**
 * Calls the operator ports of entries.
 *
 * A call goes to the entries in the given order until one answers. A repeated change is applied once, since it carries
 * a write id.
 *
 * @param entries base URLs of the operator ports
 * @param token bearer token of the operator
 * @param trust checks the certificates of entries; null for the trusted certificates of the JVM
 */
public class OperatorClient(
    public val entries: List<String>,
    private val token: String,
    trust: X509TrustManager? = null,
) : AutoCloseable {
    private val client = HttpClient(CIO) {
        install(HttpTimeout) {
            connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS
            requestTimeoutMillis = REQUEST_TIMEOUT_MILLIS
        }
        engine {
            https { trustManager = trust }
        }
    }

    /** Reads [path] from the first entry that answers. */
    public suspend fun <T> get(path: String, answer: KSerializer<T>): Reply<T> =
        callFirstReachable { get(it, path, answer) }

    /** Reads [path] from the entry at [entry] only. */
    public suspend fun <T> get(entry: String, path: String, answer: KSerializer<T>): Reply<T> =
        send(entry, HttpMethod.Get, path, null, answer)

    /** Sends [message] to [path] at the first entry that answers. */
    public suspend fun <M, T> post(
        path: String,
        serializer: KSerializer<M>,
        message: M,
        answer: KSerializer<T>,
    ): Reply<T> {
        val body = json.encodeToString(serializer, message)
        return callFirstReachable { send(it, HttpMethod.Post, path, body, answer) }
    }

    override fun close() {
        client.close()
    }

    private suspend fun <T> callFirstReachable(call: suspend (String) -> Reply<T>): Reply<T> {
        var mayHaveBeenReceived = false
        val details = mutableListOf<String>()
        for (entry in entries) {
            val reply = call(entry)
            if (reply !is Reply.Unreachable) return reply
            mayHaveBeenReceived = mayHaveBeenReceived || reply.mayHaveBeenReceived
            details += reply.detail
        }
        return Reply.Unreachable(details.joinToString("; "), mayHaveBeenReceived)
    }

    private suspend fun <T> send(
        entry: String,
        method: HttpMethod,
        path: String,
        body: String?,
        answer: KSerializer<T>,
    ): Reply<T> =
        try {
            val response = client.request(entry + path) {
                this.method = method
                bearerAuth(token)
                if (body != null) {
                    contentType(ContentType.Application.Json)
                    setBody(body)
                }
            }
            read(response, answer)
        } catch (exception: ConnectException) {
            Reply.Unreachable("$entry takes no connection", mayHaveBeenReceived = false)
        } catch (exception: UnresolvedAddressException) {
            Reply.Unreachable("$entry is no known address", mayHaveBeenReceived = false)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: IOException) {
            Reply.Unreachable("$entry did not answer: ${exception.message}", mayHaveBeenReceived = true)
        } catch (exception: IllegalArgumentException) {
            Reply.Unreachable("$entry answered something else: ${exception.message}", mayHaveBeenReceived = true)
        }

    private suspend fun <T> read(response: HttpResponse, answer: KSerializer<T>): Reply<T> {
        val text = response.bodyAsText()
        if (response.headers[HttpHeaders.ContentType]?.startsWith(PROBLEM) == true) {
            return Reply.Refused(
                response.status.value,
                json.decodeFromString(OperatorProblem.serializer(), text).detail,
            )
        }
        return Reply.Answer(json.decodeFromString(answer, text))
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val REQUEST_TIMEOUT_MILLIS = 20_000L
        const val PROBLEM = "application/problem+json"
        val json = Json { ignoreUnknownKeys = true }
    }
}
