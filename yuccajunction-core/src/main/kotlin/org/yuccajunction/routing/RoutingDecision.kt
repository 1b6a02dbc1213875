package org.yuccajunction.routing

import org.yuccajunction.model.RefusalReason
import kotlin.time.Duration

/** The outcome of choosing a backend server for one attempt. */
public sealed interface RoutingDecision {
    /** Sends the attempt to [server], in whose permits one has been taken for it. */
    public data class Use(public val server: ServerRoute) : RoutingDecision

    /** Sends the attempt nowhere. */
    public data class Refuse(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
        public val detail: String,
    ) : RoutingDecision
}
