package org.yuccajunction.routing

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The part of one backend server's limits that this entry may use.
 *
 * A lost part is given up at once; a gained one is used only after [SETTLE_DELAY], when every entry that held it before
 * has learnt of the change or has found itself cut off.
 *
 * @property granted what may be used until [target] has settled
 * @property target what the newest list of entries gives
 * @property targetSince when [target] last changed
 */
public data class ServerShare(
    public val granted: Permits = Permits.NONE,
    public val target: Permits = Permits.NONE,
    public val targetSince: MonotonicTime,
) {
    /** Requests that may be open at once, warm and cold. */
    public data class Permits(public val warm: Int, public val cold: Int) {
        internal fun atMost(other: Permits) = Permits(minOf(warm, other.warm), minOf(cold, other.cold))

        public companion object {
            /** No part at all. */
            public val NONE: Permits = Permits(0, 0)
        }
    }

    /** Returns what may be used at [now]. */
    public fun usablePermits(now: MonotonicTime): Permits = if (now - targetSince >= SETTLE_DELAY) target else granted

    /** Returns the share after the list of entries gave [newTarget] at [now]. */
    public fun retarget(newTarget: Permits, now: MonotonicTime): ServerShare =
        if (newTarget == target) this else ServerShare(usablePermits(now).atMost(newTarget), newTarget, now)

    public companion object {
        /** Time without news of the platform or any other entry after which cold shares are no longer used. */
        public val COLD_SHARE_ISOLATION_TIMEOUT: Duration = 2.seconds

        /** Longer than [COLD_SHARE_ISOLATION_TIMEOUT] and the lag of news about a new entry together. */
        public val SETTLE_DELAY: Duration = 4.seconds
    }
}
