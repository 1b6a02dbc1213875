package org.yuccajunction.routing

import org.yuccajunction.model.MonotonicTime

/**
 * The announcements that a server is about to go.
 *
 * @property listedAsLeaving whether the platform's instance list says so
 * @property reclaimNoticeUntil until when a reclaim notice is believed, null without one
 * @property drainedByOperator whether operators drain the server
 */
public data class DrainingSignals(
    public val listedAsLeaving: Boolean = false,
    public val reclaimNoticeUntil: MonotonicTime? = null,
    public val drainedByOperator: Boolean = false,
) {
    /** Returns whether any announcement holds at [now]. */
    public fun isDraining(now: MonotonicTime): Boolean =
        listedAsLeaving || drainedByOperator || (reclaimNoticeUntil != null && now < reclaimNoticeUntil)
}
