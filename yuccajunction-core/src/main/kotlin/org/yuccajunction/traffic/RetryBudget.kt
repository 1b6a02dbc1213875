package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import kotlin.math.roundToLong

/**
 * Bounds the retries of one entry to a share of its traffic, with a small floor over time.
 *
 * Safe for use from every traffic thread.
 */
public class RetryBudget(startedAt: MonotonicTime) {
    private var balanceThousandths = FLOOR_THOUSANDTHS
    private var refilledAt = startedAt

    /** Adds the [share] of a retry that one new request earns. */
    @Synchronized
    public fun deposit(share: Double) {
        balanceThousandths = minOf(CAPACITY_THOUSANDTHS, balanceThousandths + (share * RETRY_THOUSANDTHS).roundToLong())
    }

    /** Takes one retry; returns false where the budget is spent. */
    @Synchronized
    public fun tryWithdraw(now: MonotonicTime): Boolean {
        refill(now)
        if (balanceThousandths < RETRY_THOUSANDTHS) return false
        balanceThousandths -= RETRY_THOUSANDTHS
        return true
    }

    /** Takes one retry that must not be denied; the budget may go into debt by its capacity. */
    @Synchronized
    public fun withdraw(now: MonotonicTime) {
        refill(now)
        balanceThousandths = maxOf(-CAPACITY_THOUSANDTHS, balanceThousandths - RETRY_THOUSANDTHS)
    }

    private fun refill(now: MonotonicTime) {
        if (now <= refilledAt) return
        val earnedThousandths = (now - refilledAt).inWholeMilliseconds * FLOOR_RETRIES_PER_SECOND
        if (balanceThousandths < FLOOR_THOUSANDTHS) {
            balanceThousandths = minOf(FLOOR_THOUSANDTHS, balanceThousandths + earnedThousandths)
        }
        refilledAt = now
    }

    private companion object {
        const val RETRY_THOUSANDTHS = 1_000L
        const val CAPACITY_THOUSANDTHS = 100 * RETRY_THOUSANDTHS
        const val FLOOR_THOUSANDTHS = 10 * RETRY_THOUSANDTHS
        const val FLOOR_RETRIES_PER_SECOND = 2L
    }
}
