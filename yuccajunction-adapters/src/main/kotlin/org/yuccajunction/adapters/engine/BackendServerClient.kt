package org.yuccajunction.adapters.engine

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint

/**
 * Builds the HTTP client for backend servers.
 *
 * Every exchange has a connection of its own: without pipelining this engine keeps none open for a later exchange. Thus
 * a failure to connect proves that no byte of the request left, and no exchange meets a connection that went silent
 * since the last one.
 */
public object BackendServerClient {
    private const val CONNECT_TIMEOUT_MILLIS = 1_000L
    private const val MAX_CONNECTIONS = 10_000

    /** Returns a new client, which the caller closes. */
    public fun create(): HttpClient =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint {
                    connectTimeout = CONNECT_TIMEOUT_MILLIS
                    connectAttempts = 1
                    maxConnectionsPerRoute = MAX_CONNECTIONS
                }
            }
        }
}
