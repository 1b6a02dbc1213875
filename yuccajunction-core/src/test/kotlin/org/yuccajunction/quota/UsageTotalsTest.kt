package org.yuccajunction.quota

import org.yuccajunction.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class UsageTotalsTest {
    @Test
    fun `what an entry counted outlives it`() {
        val totals = UsageTotals()
        totals.replaceCounts("a/1", mapOf(7L to mapOf("w" to 2)))
        totals.replaceCounts("a/1", mapOf(7L to mapOf("w" to 5)))
        totals.replaceCounts("a/2", mapOf(7L to mapOf("w" to 1)))
        totals.replaceCounts("b/1", mapOf(7L to mapOf("v" to 3)))
        assertEquals(mapOf("v" to 3, "w" to 6), totals.total(7L))
    }

    @Test
    fun `windows follow the wall clock`() {
        val windows = UsageWindows(5.seconds)
        windows.recordStart(WorkspaceId("w"), 14_999)
        windows.recordStart(WorkspaceId("w"), 15_000)
        assertEquals(mapOf(2L to mapOf("w" to 1), 3L to mapOf("w" to 1)), windows.counts())
        assertEquals(15_000, windows.endMillis(2))
    }
}
