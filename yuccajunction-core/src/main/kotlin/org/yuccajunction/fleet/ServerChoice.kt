package org.yuccajunction.fleet

import org.yuccajunction.forward.RefusalCause
import kotlin.time.Duration

/** The outcome of choosing a backend server. */
public sealed interface ServerChoice {
    /** Send the attempt to [server]. */
    public data class Use(public val server: BackendServer) : ServerChoice

    /** No server can serve the request now; the caller may come back after [retryAfter]. */
    public data class Refuse(public val cause: RefusalCause, public val retryAfter: Duration) : ServerChoice
}
