package org.yuccajunction.rollout

import org.yuccajunction.model.MonotonicTime

/**
 * The circumstances of one attempt that a trial needs to judge it.
 *
 * @property serverReady whether the server was out of its cold start
 * @property serverLeaving whether the server was announced to go
 * @property targetMillis the service's target for the first token or the answer
 */
public data class TrialContext(
    public val now: MonotonicTime,
    public val serverReady: Boolean,
    public val serverLeaving: Boolean,
    public val targetMillis: Long,
)
