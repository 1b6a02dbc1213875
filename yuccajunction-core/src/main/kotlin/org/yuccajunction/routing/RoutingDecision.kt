package org.yuccajunction.routing

import org.yuccajunction.model.RefusalReason
import kotlin.time.Duration

/** The result of choosing a backend server for one attempt. */
public sealed interface RoutingDecision {
    /** Sends the attempt to [server], at which a permit is already acquired. */
    public data class Use(public val server: ServerRoute) : RoutingDecision

    /** Refuses the attempt because no server may be used; the caller may retry after [retryAfter]. */
    public data class Refuse(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
        public val detail: String,
    ) : RoutingDecision
}
