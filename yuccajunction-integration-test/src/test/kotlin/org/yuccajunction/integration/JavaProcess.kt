package org.yuccajunction.integration

import java.io.File
import java.io.InputStream
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs one program in a separate JVM, which ends after [LIFETIME_SECONDS] or with this JVM. */
class JavaProcess(val name: String, mainClass: String, arguments: List<String>, heapMebibytes: Int) : AutoCloseable {
    private val output = ArrayList<String>()
    private val process: Process = start(mainClass, arguments, heapMebibytes)

    val pid: Long get() = process.pid()

    val isAlive: Boolean get() = process.isAlive

    /** The lines printed so far on standard output and standard error. */
    val lines: List<String> get() = synchronized(output) { output.toList() }

    init {
        collect(process.inputStream)
        collect(process.errorStream)
    }

    /** Waits for a line that starts with [prefix] and returns the rest of it. */
    fun awaitLine(prefix: String, within: Duration = START_TIME): String =
        poll(within, { "$name printed no line that starts with \"$prefix\":\n${lines.joinToString("\n")}" }) {
            check(isAlive || lines.any { it.startsWith(prefix) }) {
                "$name ended before it printed \"$prefix\":\n${lines.joinToString("\n")}"
            }
            lines.find { it.startsWith(prefix) }?.removePrefix(prefix)?.trim()
        }

    /** Kills the process with SIGKILL and waits for its end. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Sends SIGTERM, as the platform does before it takes back an instance. */
    fun terminate() = signal("TERM")

    /** Freezes the process with SIGSTOP. */
    fun freeze() = signal("STOP")

    /** Resumes a frozen process with SIGCONT. */
    fun resume() = signal("CONT")

    /** Returns whether the process ended within [within]. */
    fun awaitEnd(within: Duration): Boolean = process.waitFor(within.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    override fun close() = kill()

    private fun signal(signal: String) {
        check(ProcessBuilder("kill", "-$signal", "$pid").start().waitFor() == 0) {
            "could not send signal $signal to $name, process $pid"
        }
    }

    private fun start(mainClass: String, arguments: List<String>, heapMebibytes: Int): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val flags = listOf("-Xmx${heapMebibytes}m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k")
        val bounded = listOf(BOUNDED_MAIN, "$LIFETIME_SECONDS", mainClass)
        val builder = ProcessBuilder(listOf(java) + flags + bounded + arguments)
        builder.environment()["CLASSPATH"] = System.getProperty("java.class.path")
        return builder.start()
    }

    private fun collect(stream: InputStream) {
        thread(isDaemon = true, name = "output-$name") {
            stream.bufferedReader().useLines { all -> all.forEach { synchronized(output) { output += it } } }
        }
    }

    private companion object {
        const val BOUNDED_MAIN = "org.yuccajunction.testing.BoundedMain"
        const val LIFETIME_SECONDS = 600
        val START_TIME = 20.seconds
    }
}
