package org.yuccajunction.adapters.engine

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint

/**
 * Creates HTTP clients for backend servers.
 *
 * Each exchange opens a connection of its own, since the CIO engine keeps no connection alive without pipelining. Thus
 * a failure to connect proves that no byte of the request was sent, and no request goes to a connection that has gone
 * dead since an earlier one.
 */
public object BackendServerClient {
    private const val CONNECT_TIMEOUT_MILLIS = 1_000L
    private const val MAX_CONNECTIONS = 10_000

    /** Creates a client; the caller closes the client. */
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
