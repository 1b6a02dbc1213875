package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardFixture
import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ColdStartLimiterTest {
    private val cold = ForwardFixture.server("cold").copy(coldUntil = MonotonicTime.ZERO + 60.seconds)

    /** Lets every entry send as much as its gate allows for a second and returns what the server gets. */
    private fun requestsInOneSecond(views: Map<String, List<String>>, rate: Double): Int {
        val limiters = views.mapValues { ColdStartLimiter(it.key) }
        var sent = 0
        for (millis in 0..999) {
            val now = MonotonicTime.ZERO + millis.milliseconds
            for ((entry, limiter) in limiters) {
                if (!limiter.permits(cold, rate, views.getValue(entry), now)) continue
                limiter.recordRequest(cold)
                sent += 1
            }
        }
        return sent
    }

    @Test
    fun `all entries together stay within the rate of a cold server`() {
        val entries = (1..67).map { "entry-$it" }
        val sent = requestsInOneSecond(entries.associateWith { entries }, rate = 23.0)
        assertTrue(sent in 20..26, "$sent requests in one second")
    }

    @Test
    fun `entries whose views differ by one stay within the bound of the rate and a half`() {
        val entries = (1..9).map { "entry-$it" }
        val views = entries.withIndex().associate { (index, entry) -> entry to (entries - entries[index % 2]) + entry }
        val sent = requestsInOneSecond(views, rate = 23.0)
        assertTrue(sent <= 39, "$sent requests in one second")
    }

    @Test
    fun `a warm server and a service without a bound are open`() {
        val limiter = ColdStartLimiter("entry")
        val warmAt = MonotonicTime.ZERO + 61.seconds
        assertTrue(limiter.permits(cold, 0.0, listOf("entry"), MonotonicTime.ZERO))
        assertEquals(true, limiter.permits(cold, 1.0, listOf("other"), warmAt))
    }
}
