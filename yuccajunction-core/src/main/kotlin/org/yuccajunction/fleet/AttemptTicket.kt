package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime

/**
 * Identifies one attempt to the [LoadBalancer] from the start of the attempt to its end.
 *
 * @property prefillTokens prompt tokens that the server was expected to process, because they are not in its cache
 * @property prediction predicted time until the first event or the whole answer, null for an unlisted server
 * @property route route of the request, null for an unlisted server
 * @property requestsAtServer estimated requests that the server had when the attempt was sent
 */
public class AttemptTicket internal constructor(
    public val server: BackendServerId,
    internal val prefillTokens: Int,
    internal val startedAt: MonotonicTime,
    internal val prediction: LatencyPrediction?,
    internal val route: ForwardRoute? = null,
    public val requestsAtServer: Int = 0,
) {
    internal var hasAnswer = false
    internal var isEnded = false
}
