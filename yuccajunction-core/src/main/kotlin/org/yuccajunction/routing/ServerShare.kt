package org.yuccajunction.routing

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The share of one backend server's limits that this entry may use.
 *
 * The entry gives up a decrease of its share at once, but uses an increase only after [SETTLE_DELAY], when every entry
 * that had that part before has learnt of the change or has detected that it is isolated.
 *
 * @property granted permits that may be used until [target] has settled
 * @property target permits that follow from the newest list of entries
 * @property targetSince when [target] last changed
 */
public data class ServerShare(
    public val granted: Permits = Permits.NONE,
    public val target: Permits = Permits.NONE,
    public val targetSince: MonotonicTime,
) {
    /** Numbers of concurrent requests: [warm] after the server's cold start, [cold] during it. */
    public data class Permits(public val warm: Int, public val cold: Int) {
        internal fun atMost(other: Permits) = Permits(minOf(warm, other.warm), minOf(cold, other.cold))

        public companion object {
            /** No permits. */
            public val NONE: Permits = Permits(0, 0)
        }
    }

    /** Returns the permits that may be used at [now]. */
    public fun usablePermits(now: MonotonicTime): Permits = if (now - targetSince >= SETTLE_DELAY) target else granted

    /** Returns the share after a new list of entries gave [newTarget] at [now]. */
    public fun retarget(newTarget: Permits, now: MonotonicTime): ServerShare =
        if (newTarget == target) this else ServerShare(usablePermits(now).atMost(newTarget), newTarget, now)

    public companion object {
        /** Time without contact to the platform or any peer after which the entry no longer uses its cold shares. */
        public val COLD_SHARE_ISOLATION_TIMEOUT: Duration = 2.seconds

        /** Longer than [COLD_SHARE_ISOLATION_TIMEOUT] plus the time until peers learn of a new entry. */
        public val SETTLE_DELAY: Duration = 4.seconds
    }
}
