package org.yuccajunction.adapters.engine

import io.ktor.client.HttpClient
import org.yuccajunction.adapters.http.AnswerClient

/** Creates HTTP clients for backend servers, with a new connection for each exchange. */
public object BackendServerClient {
    /** Creates a client; the caller closes the client. */
    public fun create(): HttpClient = AnswerClient.create()
}
