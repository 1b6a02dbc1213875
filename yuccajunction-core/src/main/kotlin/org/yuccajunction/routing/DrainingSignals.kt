package org.yuccajunction.routing

import org.yuccajunction.model.MonotonicTime

/**
 * The announcements that a backend server is about to be removed.
 *
 * @property listedAsLeaving whether the platform's instance list marks the server as leaving
 * @property reclaimNoticeUntil time until which a reclaim notice of the cloud is valid, null without a notice
 * @property drainedByOperator whether operators drain the server
 */
public data class DrainingSignals(
    public val listedAsLeaving: Boolean = false,
    public val reclaimNoticeUntil: MonotonicTime? = null,
    public val drainedByOperator: Boolean = false,
) {
    /** Returns whether any of the announcements holds at [now]. */
    public fun isDraining(now: MonotonicTime): Boolean =
        listedAsLeaving || drainedByOperator || (reclaimNoticeUntil != null && now < reclaimNoticeUntil)
}
