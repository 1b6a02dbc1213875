package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class RetryBudgetTest {
    private val start = MonotonicTime.ZERO
    private val budget = RetryBudget(start)

    @Test
    fun `without requests a burst of retries is bounded by the floor of ten`() {
        assertEquals(10, retries(100))
    }

    @Test
    fun `each new request earns its share of a retry`() {
        retries(100)
        repeat(100) { budget.deposit(0.1) }
        assertEquals(10, retries(100), "a tenth of 100 requests")
    }

    @Test
    fun `two retries per second are earned without requests`() {
        retries(100)
        assertEquals(2, retries(100, start + 1.seconds))
    }

    @Test
    fun `unconditional withdrawals leave no retries to other requests`() {
        repeat(12) { budget.withdraw(start) }
        assertEquals(0, retries(100))
        assertEquals(0, retries(100, start + 1.seconds))
    }

    private fun retries(tries: Int, now: MonotonicTime = start) = (1..tries).count { budget.tryWithdraw(now) }
}
