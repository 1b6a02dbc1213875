package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServiceRetryBudgetTest {
    private val service = ServiceName("service")

    @Test
    fun `all entries together stay within the budget of every window when every request fails`() {
        val entries = List(8) { ServiceRetryBudget(0.2, 56.0, 10.seconds) }
        val retriedAt = ArrayList<Int>()
        for (millis in 0..60_000 step 5) {
            val now = MonotonicTime.ZERO + millis.milliseconds
            val entry = entries[millis / 5 % entries.size]
            entry.recordRequest(service, entries.size, now)
            if (entry.tryTakeRetry(service, entries.size, now)) retriedAt += millis
        }
        val worst = retriedAt.maxOf { start -> retriedAt.count { it in start until start + 10_000 } }
        val bound = 0.2 * 2_000 + 56
        assertTrue(worst <= bound, "$worst retries in a window, bound $bound")
    }
}
