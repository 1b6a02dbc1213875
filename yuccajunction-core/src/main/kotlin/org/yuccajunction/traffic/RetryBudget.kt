package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import kotlin.math.roundToLong

/**
 * Bounds the retries of one entry to a share of its traffic, with a small floor over time.
 *
 * Safe for use from every traffic thread.
 */
public class RetryBudget(startedAt: MonotonicTime) {
    private var thousandths = FLOOR_CAPACITY
    private var refilledAt = startedAt

    /** Adds the [share] of a retry that one new request earns. */
    @Synchronized
    public fun deposit(share: Double) {
        thousandths = minOf(CAPACITY, thousandths + (share * ONE).roundToLong())
    }

    /** Takes one retry; returns false where the budget is spent. */
    @Synchronized
    public fun tryWithdraw(now: MonotonicTime): Boolean {
        refill(now)
        if (thousandths < ONE) return false
        thousandths -= ONE
        return true
    }

    /** Takes one retry that must not be denied; the budget may go into debt by its capacity. */
    @Synchronized
    public fun withdraw(now: MonotonicTime) {
        refill(now)
        thousandths = maxOf(-CAPACITY, thousandths - ONE)
    }

    private fun refill(now: MonotonicTime) {
        if (now <= refilledAt) return
        val earned = (now - refilledAt).inWholeMilliseconds * FLOOR_PER_SECOND
        if (thousandths < FLOOR_CAPACITY) thousandths = minOf(FLOOR_CAPACITY, thousandths + earned)
        refilledAt = now
    }

    private companion object {
        const val ONE = 1_000L
        const val CAPACITY = 100 * ONE
        const val FLOOR_CAPACITY = 10 * ONE
        const val FLOOR_PER_SECOND = 2L
    }
}
