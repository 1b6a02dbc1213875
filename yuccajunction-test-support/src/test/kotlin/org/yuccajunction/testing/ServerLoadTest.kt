package org.yuccajunction.testing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ServerLoadTest {
    private var millis = 0L

    private fun load(coldMillis: Long) =
        ServerLoad(coldMillis, coldRequestLimit = 2, reportLagMillis = 200) { millis * 1_000_000 }

    @Test
    fun `a cold server fails requests above its limit and accepts requests again after two seconds`() {
        val load = load(coldMillis = 10_000)
        assertTrue(load.beginRequest())
        assertTrue(load.beginRequest())
        assertFalse(load.beginRequest())
        assertEquals(LoadCounts(open = 3, highestOpen = 3, highestOpenCold = 3, fellOver = 1), load.counts())
        repeat(3) { load.endRequest() }
        assertFalse(load.beginRequest())
        load.endRequest()
        millis += 2_000
        assertTrue(load.beginRequest())
    }

    @Test
    fun `a warm server accepts more requests than the cold limit`() {
        val load = load(coldMillis = 0)
        repeat(10) { assertTrue(load.beginRequest()) }
        assertEquals(LoadCounts(open = 10, highestOpen = 10, highestOpenCold = 0, fellOver = 0), load.counts())
    }

    @Test
    fun `the load report shows a request only after the report lag`() {
        val load = load(coldMillis = 0)
        assertEquals(0, load.laggedReport().running)
        millis += 100
        load.beginRequest()
        millis += 150
        assertEquals(0, load.laggedReport().running)
        millis += 50
        assertEquals(1, load.laggedReport().running)
    }

    @Test
    fun `a cold start can be hidden from the load report`() {
        val load = load(coldMillis = 0)
        load.beginColdStart(millis = 1_000, reported = false, newIncarnation = false)
        assertTrue(load.isCold)
        assertFalse(load.laggedReport().cold)
    }
}
