package org.yuccajunction.gateway

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventSplitterTest {
    private val splitter = EventSplitter(maxEventBytes = 64)
    private val events = ArrayList<Pair<String?, String>>()

    private fun add(text: String) {
        splitter.add(Unpooled.copiedBuffer(text, Charsets.UTF_8)) {
            events += it.id to it.bytes.toString(Charsets.UTF_8)
        }
    }

    @Test
    fun `events are cut after their blank line wherever the bytes are split`() {
        val text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
        for (chunk in 1..text.length) {
            events.clear()
            text.chunked(chunk).forEach(::add)
            val expected = listOf("1" to "id: 1\ndata: a\n\n", "2" to "id: 2\r\ndata: b\r\n\r\n", null to "data: c\n\n")
            assertEquals(expected, events, "in chunks of $chunk bytes")
            assertFalse(splitter.hasPartialEvent)
        }
    }

    @Test
    fun `half an event is held back`() {
        add("id: 1\ndata: a\n\nid: 2\nda")
        assertEquals(1, events.size)
        assertTrue(splitter.hasPartialEvent)
    }

    @Test
    fun `an event that never ends is noticed`() {
        add("data: " + "x".repeat(100))
        assertTrue(splitter.isEventTooLarge)
    }
}
