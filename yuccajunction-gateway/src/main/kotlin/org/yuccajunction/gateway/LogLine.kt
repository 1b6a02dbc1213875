package org.yuccajunction.gateway

import ch.qos.logback.classic.spi.ILoggingEvent
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.yuccajunction.control.LogEvent

/** Formats events of the log as JSON. */
internal object LogLine {
    fun format(event: ILoggingEvent): String =
        buildJsonObject {
            put("time", event.timeStamp)
            put("level", event.level.toString())
            put("message", event.formattedMessage)
            event.keyValuePairs.orEmpty().forEach { add(it.key, it.value) }
            event.throwableProxy?.let { put("error", "${it.className}: ${it.message}") }
        }.toString()

    fun formatDropped(lines: Long): String =
        buildJsonObject {
            put("time", System.currentTimeMillis())
            put("level", LogEvent.LINES_DROPPED.level.name)
            put("message", LogEvent.LINES_DROPPED.name)
            put("event", LogEvent.LINES_DROPPED.number)
            put("lines", lines)
        }.toString()

    private fun JsonObjectBuilder.add(name: String, value: Any?) {
        when (value) {
            is Number -> put(name, value)
            is Boolean -> put(name, value)
            else -> put(name, value.toString())
        }
    }
}
