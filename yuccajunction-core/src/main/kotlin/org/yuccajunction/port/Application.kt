package org.yuccajunction.port

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.LoadReport

/** Client for plain applications, each at the endpoint of one backend server. */
public interface Application {
    /** Sends [call] and waits for the whole response; cancellation closes the connection. */
    public suspend fun call(endpoint: Endpoint, call: ApplicationCall): ApplicationOutcome

    /** Returns the load report of the backend server; null when the server does not answer. */
    public suspend fun readLoadReport(endpoint: Endpoint): LoadReport?
}
