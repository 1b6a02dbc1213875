package org.yuccajunction.fleet

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime

/** One attempt as the [LoadBalancer] count it, from its dispatch to its end. */
public class AttemptTicket internal constructor(
    public val server: BackendServerId,
    internal val prefillTokens: Int,
    internal val startedAt: MonotonicTime,
    internal val predictedMillis: Double,
) {
    internal var hasAnswer = false
    internal var isEnded = false
}
