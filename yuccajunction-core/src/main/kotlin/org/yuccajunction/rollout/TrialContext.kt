package org.yuccajunction.rollout

import org.yuccajunction.model.MonotonicTime

/**
 * The state of the backend server and the service that a trial needs to evaluate one attempt.
 *
 * @property serverReady whether the server has been ready before and does not report that it is in cold start
 * @property serverDraining whether the server was announced to be removed or is unknown
 * @property load requests at the server, as far as this entry knows
 * @property targetMillis the service's latency target for the first token or the response
 * @property slowFactor multiple of the old version's latency under the same load from which an attempt counts as slow
 */
public data class TrialContext(
    public val now: MonotonicTime,
    public val serverReady: Boolean,
    public val serverDraining: Boolean,
    public val load: Int,
    public val targetMillis: Long,
    public val slowFactor: Double = 1.5,
)
