package org.yuccajunction.gateway

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.core.spi.ContextAwareBase
import java.io.FileDescriptor
import java.io.FileOutputStream

/** Configures Logback in code; parsing a configuration file would delay the start of the process. */
public class GatewayLogging :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val lines = BoundedLineAppender(FileOutputStream(FileDescriptor.out))
        lines.context = context
        lines.start()
        appender = lines
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(lines)
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    public companion object {
        private var appender: BoundedLineAppender? = null

        /** Writes all queued log lines. */
        public fun flush() {
            appender?.flush()
        }
    }
}
