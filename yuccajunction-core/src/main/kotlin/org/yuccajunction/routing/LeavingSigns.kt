package org.yuccajunction.routing

import org.yuccajunction.model.MonotonicTime

/**
 * The announcements that a server is about to go.
 *
 * @property listed whether the platform's instance list says so
 * @property noticedUntil until when a reclaim notice is believed, null without one
 * @property drained whether operators drain the server
 */
public data class LeavingSigns(
    public val listed: Boolean = false,
    public val noticedUntil: MonotonicTime? = null,
    public val drained: Boolean = false,
) {
    /** Returns whether any announcement holds at [now]. */
    public fun any(now: MonotonicTime): Boolean = listed || drained || (noticedUntil != null && now < noticedUntil)
}
