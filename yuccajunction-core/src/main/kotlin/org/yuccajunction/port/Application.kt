package org.yuccajunction.port

import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.LoadReport

/** A plain application, as one backend server runs it. */
public interface Application {
    /** Sends one call and waits for its whole answer; cancelling the call closes the connection. */
    public suspend fun call(endpoint: Endpoint, call: ApplicationCall): ApplicationOutcome

    /** Reads the load report; returns null when the server does not answer. */
    public suspend fun readLoadReport(endpoint: Endpoint): LoadReport?
}
