package org.yuccajunction.testing.engine

import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheTest {
    private fun words(count: Int, name: String = "word") = List(count) { "$name$it" }

    @Test
    fun `whole blocks of a known prefix are cached`() {
        val cache = PrefixCache(capacity = 8, gap = 0)
        assertEquals(0, cache.use(words(40)))
        assertEquals(32, cache.use(words(40)))
        assertEquals(16, cache.use(words(16) + words(24, "other")))
    }

    @Test
    fun `the block least recently used is evicted`() {
        val cache = PrefixCache(capacity = 2, gap = 0)
        cache.use(words(32))
        cache.use(words(16, "other"))
        assertEquals(0, cache.use(words(32)))
        assertEquals(
            listOf("stored", "stored", "stored", "evicted"),
            cache.eventsAfter(0).events.take(4).map {
                it.kind
            },
        )
    }

    @Test
    fun `events are lost at the gap`() {
        val cache = PrefixCache(capacity = 8, gap = 2)
        cache.use(words(48))
        assertEquals(listOf(1L, 3L), cache.eventsAfter(0).events.map { it.sequence })
    }
}
