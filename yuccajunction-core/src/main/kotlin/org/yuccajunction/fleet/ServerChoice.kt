package org.yuccajunction.fleet

import org.yuccajunction.forward.RefusalCause
import kotlin.time.Duration

/** Result of the choice of a backend server for an attempt. */
public sealed interface ServerChoice {
    /** The attempt goes to [server]. */
    public data class Use(public val server: BackendServer) : ServerChoice

    /** No server may take the request yet; the choice is to be made again soon. */
    public data object Wait : ServerChoice

    /** No server can take the request now; the caller may retry after [retryAfter]. */
    public data class Refuse(public val cause: RefusalCause, public val retryAfter: Duration) : ServerChoice
}
