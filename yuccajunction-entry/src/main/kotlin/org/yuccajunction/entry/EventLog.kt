package org.yuccajunction.entry

import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.event.Level
import org.yuccajunction.control.LogEvent
import org.yuccajunction.control.LogLevel

/** Writes numbered events to the log. */
public object EventLog {
    private val logger: Logger = LoggerFactory.getLogger("org.yuccajunction")

    /** Logs [event]; [detail] must contain neither secrets nor contents of requests. */
    public fun write(event: LogEvent, detail: String) {
        logger
            .atLevel(event.level.toSlf4j())
            .addKeyValue("event", event.number)
            .log("{} {}", event.name, detail)
    }
}

private fun LogLevel.toSlf4j(): Level =
    when (this) {
        LogLevel.INFO -> Level.INFO
        LogLevel.WARN -> Level.WARN
        LogLevel.ERROR -> Level.ERROR
    }
