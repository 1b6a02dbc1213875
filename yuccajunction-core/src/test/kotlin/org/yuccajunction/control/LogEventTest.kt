package org.yuccajunction.control

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class LogEventTest {
    @Test
    fun `every number is used once`() {
        assertEquals(LogEvent.entries.size, LogEvent.entries.map { it.number }.toSet().size)
    }

    @Test
    fun `the page of events holds the catalogue`() {
        val rows = File("../docs/EVENTS.md").readLines().filter { it.startsWith("| ") }.drop(2)
        assertEquals(LogEvent.entries.sortedBy { it.number }.map(::row), rows)
    }

    private fun row(event: LogEvent) = "| ${event.number} | ${event.name} | ${event.level} | ${event.meaning} |"
}
