package org.yuccajunction.adapters.http

import io.ktor.client.HttpClient
import io.ktor.client.HttpClientConfig
import io.ktor.client.engine.HttpClientEngineConfig
import io.ktor.client.engine.HttpClientEngineFactory
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.HttpRequestData
import io.ktor.util.AttributeKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Creates HTTP clients that take only answers by the grammar of HTTP/1.1, of bounded size.
 *
 * Each exchange opens a connection of its own. Thus a failure to connect proves that no byte of the request was sent,
 * and no request goes to a connection that has gone dead since an earlier one. Bytes that are no answer end a call with
 * an [org.yuccajunction.http.InvalidAnswerException].
 */
internal object AnswerClient {
    private val CONNECT_TIMEOUT = 1.seconds

    private val STREAMED_ANSWER = AttributeKey<Boolean>("StreamedAnswer")

    /** Lets the answer to [request] be a stream of lines, which may have any length as a whole. */
    fun expectStream(request: HttpRequestBuilder) = request.attributes.put(STREAMED_ANSWER, true)

    /** Returns whether the answer to [request] may be a stream. */
    fun isStreamExpected(request: HttpRequestData): Boolean = request.attributes.contains(STREAMED_ANSWER)

    /** Creates a client; the caller closes the client. */
    fun create(
        connectTimeout: Duration = CONNECT_TIMEOUT,
        configure: HttpClientConfig<HttpClientEngineConfig>.() -> Unit = {},
    ): HttpClient {
        val factory =
            object : HttpClientEngineFactory<HttpClientEngineConfig> {
                override fun create(block: HttpClientEngineConfig.() -> Unit) =
                    AnswerClientEngine(HttpClientEngineConfig().apply(block), connectTimeout)
            }
        return HttpClient(factory) {
            expectSuccess = false
            followRedirects = false
            configure()
        }
    }
}
