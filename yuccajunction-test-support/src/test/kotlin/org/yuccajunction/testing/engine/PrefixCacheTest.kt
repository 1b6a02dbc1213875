package org.yuccajunction.testing.engine

import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheTest {
    private fun words(count: Int, name: String = "word") = List(count) { "$name$it" }

    @Test
    fun `whole blocks of a known prefix are cached`() {
        val cache = PrefixCache(capacityBlocks = 8, lostEventInterval = 0)
        assertEquals(0, cache.lookUpAndStore(words(40)))
        assertEquals(32, cache.lookUpAndStore(words(40)))
        assertEquals(16, cache.lookUpAndStore(words(16) + words(24, "other")))
    }

    @Test
    fun `the block least recently used is evicted`() {
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
    fun `events are lost at the gap`() {
        val cache = PrefixCache(capacityBlocks = 8, lostEventInterval = 2)
        cache.lookUpAndStore(words(48))
        assertEquals(listOf(1L, 3L), cache.eventsAfter(0).events.map { it.sequence })
    }
}
