package org.yuccajunction.fleet

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime

/** One attempt as the [FleetLoads] count it, from its dispatch to its end. */
public class LoadTicket internal constructor(
    public val server: BackendServerId,
    internal val unreadTokens: Int,
    internal val startedAt: MonotonicTime,
    internal val predictedMillis: Double,
) {
    internal var hasAnswer = false
    internal var isEnded = false
}
