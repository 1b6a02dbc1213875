@file:JvmName("EntryMain")

package org.yuccajunction.entry

import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.getOrElse
import org.yuccajunction.control.LogEvent
import org.yuccajunction.model.Finding
import kotlin.system.exitProcess

private const val BAD_SETTINGS_CODE = 2

/** Starts one entry and waits until it has shut down after SIGTERM. */
public fun main(arguments: Array<String>) {
    val settings =
        EntryCommandLine
            .parse(arguments)
            .flatMap { flags -> EntrySettingsReader.read(flags, System.getenv()) }
            .getOrElse(::refuse)
    val process = EntryProcess(settings)
    Runtime.getRuntime().addShutdownHook(Thread({ process.shutDown() }, "shutdown"))
    process.start()
    process.addresses().forEach(::println)
    process.awaitReady()
    println("ready")
    process.awaitEnd()
}

private fun refuse(findings: NonEmptyList<Finding>): Nothing {
    findings.forEach { System.err.println(it) }
    EventLog.write(LogEvent.SETTINGS_REJECTED, "${findings.size} findings")
    exitProcess(BAD_SETTINGS_CODE)
}
