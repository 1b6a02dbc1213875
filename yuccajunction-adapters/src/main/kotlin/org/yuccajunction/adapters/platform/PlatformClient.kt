package org.yuccajunction.adapters.platform

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Creates HTTP clients for the platform's APIs. */
public object PlatformClient {
    private val CONNECT_TIMEOUT = 1.seconds

    /** Creates a client whose requests time out after [timeout]; the caller closes the client. */
    public fun create(timeout: Duration = 3.seconds): HttpClient =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            install(HttpTimeout) {
                connectTimeoutMillis = CONNECT_TIMEOUT.inWholeMilliseconds
                requestTimeoutMillis = timeout.inWholeMilliseconds
            }
        }
}
