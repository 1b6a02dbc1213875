package org.yuccajunction.gateway

import org.slf4j.LoggerFactory
import org.slf4j.event.Level
import org.slf4j.spi.LoggingEventBuilder
import org.yuccajunction.control.LogEvent
import org.yuccajunction.control.LogLevel

/** Logs numbered events, each with the inputs of the decision that the event records. */
public class DecisionLog(name: String = "org.yuccajunction.gateway") {
    private val logger = LoggerFactory.getLogger(name)

    /** Logs [event] with the fields that [fields] adds. */
    public fun write(event: LogEvent, fields: EventFields.() -> Unit = {}) {
        val level = level(event.level)
        if (!logger.isEnabledForLevel(level)) return
        val builder = logger.atLevel(level).addKeyValue("event", event.number)
        EventFields(builder).fields()
        builder.log(event.name)
    }

    private fun level(level: LogLevel): Level =
        when (level) {
            LogLevel.ERROR -> Level.ERROR
            LogLevel.WARN -> Level.WARN
            LogLevel.INFO -> Level.INFO
        }

    /** Adds fields to a log event. */
    public class EventFields internal constructor(private val builder: LoggingEventBuilder) {
        /** Adds the field [name], unless [value] is null. */
        public fun field(name: String, value: Any?) {
            if (value != null) builder.addKeyValue(name, value)
        }
    }
}
