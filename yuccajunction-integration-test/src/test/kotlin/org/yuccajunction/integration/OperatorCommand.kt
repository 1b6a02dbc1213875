package org.yuccajunction.integration

import org.yuccajunction.entry.operating.OperatorDirectory
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** One operator with a token of its own, who runs `yuccajunctionctl` as a process. */
class OperatorCommand(folder: Path, private val name: String, private val sections: List<String>) {
    private val token = "token-of-$name"
    private val tokenFile = Files.writeString(folder.resolve("$name.token"), token)

    /** The element of the entries' operators file that names this operator. */
    val rule: String
        get() = "- name: $name\n  tokenHash: ${OperatorDirectory.hashOf(
            token,
        )}\n  sections: [${sections.joinToString()}]\n"

    /** Starts the command line with [arguments] against [entries]. */
    fun start(entries: List<EntryHandle>, vararg arguments: String): RunningCommand {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val flags = listOf("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        val common = listOf("--entries", entries.joinToString(",") { "${it.operator}" }, "--token-file", "$tokenFile")
        val builder = ProcessBuilder(listOf(java) + flags + "org.yuccajunction.ctl.CtlMain" + common + arguments)
        builder.environment()["CLASSPATH"] = System.getProperty("java.class.path")
        val output = Files.createTempFile("ctl", ".out").toFile()
        val errors = Files.createTempFile("ctl", ".err").toFile()
        return RunningCommand(builder.redirectOutput(output).redirectError(errors).start(), output, errors)
    }

    /** Runs the command line with [arguments] against [entries] and returns how it ended. */
    fun run(entries: List<EntryHandle>, vararg arguments: String): CommandEnding = start(entries, *arguments).await()

    /** A command that was started. */
    class RunningCommand(private val process: Process, private val output: File, private val errors: File) {
        /** Waits for the end of the command. */
        fun await(): CommandEnding {
            if (!process.waitFor(COMMAND_SECONDS, TimeUnit.SECONDS)) process.destroyForcibly().waitFor()
            val ending = CommandEnding(process.exitValue(), output.readText(), errors.readText())
            output.delete()
            errors.delete()
            return ending
        }
    }

    /** How a command ended and what it wrote. */
    data class CommandEnding(val code: Int, val output: String, val errors: String)

    private companion object {
        const val COMMAND_SECONDS = 60L
    }
}
