package org.yuccajunction.testing.engine

import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheTest {
    private fun words(count: Int, name: String = "word") = List(count) { "$name$it" }

    @Test
    fun `a lookup counts the words of the cached whole blocks of its prefix`() {
        val cache = PrefixCache(capacityBlocks = 8, lostEventInterval = 0)
        assertEquals(0, cache.lookUpAndStore(words(40)))
        assertEquals(32, cache.lookUpAndStore(words(40)))
        assertEquals(16, cache.lookUpAndStore(words(16) + words(24, "other")))
    }

    @Test
    fun `a full cache evicts the least recently used block`() {
        val cache = PrefixCache(capacityBlocks = 2, lostEventInterval = 0)
        cache.lookUpAndStore(words(32))
        cache.lookUpAndStore(words(16, "other"))
        assertEquals(0, cache.lookUpAndStore(words(32)))
        assertEquals(
            listOf("stored", "stored", "stored", "evicted"),
            cache.eventsAfter(0).events.take(4).map {
                it.kind
            },
        )
    }

    @Test
    fun `events at multiples of the lost event interval are not reported`() {
        val cache = PrefixCache(capacityBlocks = 8, lostEventInterval = 2)
        cache.lookUpAndStore(words(48))
        assertEquals(listOf(1L, 3L), cache.eventsAfter(0).events.map { it.sequence })
    }
}
