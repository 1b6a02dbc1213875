package org.yuccajunction.rollout

import org.yuccajunction.model.MonotonicTime

/**
 * The circumstances of one attempt that a trial needs to judge it.
 *
 * @property serverReady whether the server had come out of its cold start and does not report itself cold
 * @property serverDraining whether the server was announced to go
 * @property load requests at the server, as far as this entry knows
 * @property targetMillis the service's target for the first token or the answer
 */
public data class TrialContext(
    public val now: MonotonicTime,
    public val serverReady: Boolean,
    public val serverDraining: Boolean,
    public val load: Int,
    public val targetMillis: Long,
)
