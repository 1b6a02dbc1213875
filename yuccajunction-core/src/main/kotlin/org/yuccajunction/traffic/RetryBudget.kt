package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import kotlin.time.DurationUnit

/**
 * Bounds the retries of one entry to a share of its traffic, with a small floor over time.
 *
 * Safe for use from every traffic thread.
 */
public class RetryBudget(startedAt: MonotonicTime) {
    private var tokens = FLOOR_CAPACITY
    private var refilledAt = startedAt

    /** Adds the [share] of a retry that one new request earns. */
    @Synchronized
    public fun deposit(share: Double) {
        tokens = minOf(CAPACITY, tokens + share)
    }

    /** Takes one retry; returns false where the budget is spent. */
    @Synchronized
    public fun tryWithdraw(now: MonotonicTime): Boolean {
        refill(now)
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    /** Takes one retry that must not be denied; the budget may go into debt by its capacity. */
    @Synchronized
    public fun withdraw(now: MonotonicTime) {
        refill(now)
        tokens = maxOf(-CAPACITY, tokens - 1.0)
    }

    private fun refill(now: MonotonicTime) {
        if (now <= refilledAt) return
        val earned = (now - refilledAt).toDouble(DurationUnit.SECONDS) * FLOOR_PER_SECOND
        if (tokens < FLOOR_CAPACITY) tokens = minOf(FLOOR_CAPACITY, tokens + earned)
        refilledAt = now
    }

    private companion object {
        const val CAPACITY = 100.0
        const val FLOOR_CAPACITY = 10.0
        const val FLOOR_PER_SECOND = 2.0
    }
}
