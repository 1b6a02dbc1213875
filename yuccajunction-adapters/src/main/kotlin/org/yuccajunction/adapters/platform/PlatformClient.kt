package org.yuccajunction.adapters.platform

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import org.yuccajunction.adapters.http.AnswerClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Creates HTTP clients for the platform's APIs, with a new connection for each exchange. */
public object PlatformClient {
    /** Creates a client whose requests time out after [timeout]; the caller closes the client. */
    public fun create(timeout: Duration = 3.seconds): HttpClient =
        AnswerClient.create { install(HttpTimeout) { requestTimeoutMillis = timeout.inWholeMilliseconds } }
}
