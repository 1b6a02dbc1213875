package org.yuccajunction.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class SuspensionAwareClockTest {
    private var steadyMillis = 0L
    private var wallMillis = 1_000_000L
    private val clock = SuspensionAwareClock({ steadyMillis * 1_000_000 }, { wallMillis })

    @Test
    fun `a suspension that the steady clock does not count is added to the time`() {
        val before = clock.now()
        steadyMillis += 10
        wallMillis += 4_010
        assertEquals(4_010.milliseconds, clock.now() - before)
    }

    @Test
    fun `the clock does not go back when the wall clock does`() {
        val before = clock.now()
        steadyMillis += 10
        wallMillis -= 2_000
        assertEquals(10.milliseconds, clock.now() - before)
        wallMillis += 2_000
        assertTrue(clock.now() - before >= 10.milliseconds)
    }
}
