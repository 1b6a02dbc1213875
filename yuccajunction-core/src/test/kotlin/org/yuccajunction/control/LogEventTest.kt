package org.yuccajunction.control

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class LogEventTest {
    @Test
    fun `each event has a number of its own`() {
        assertEquals(LogEvent.entries.size, LogEvent.entries.map { it.number }.toSet().size)
    }

    @Test
    fun `the documentation page lists exactly these events`() {
        val rows = File("../docs/EVENTS.md").readLines().filter { it.startsWith("| ") }.drop(2)
        assertEquals(LogEvent.entries.sortedBy { it.number }.map(::row), rows)
    }

    private fun row(event: LogEvent) = "| ${event.number} | ${event.name} | ${event.level} | ${event.meaning} |"
}
