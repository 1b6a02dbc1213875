package org.yuccajunction.integration

import org.yuccajunction.entry.operating.OperatorDirectory
import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Starts `yuccajunctionctl` processes as the operator [name], who may write [sections]. */
class OperatorCommand(folder: Path, private val name: String, private val sections: List<String>) {
    private val token = "token-of-$name"
    private val tokenFile = Files.writeString(folder.resolve("$name.token"), token)

    /** The list element for this operator in the operators file of the entries. */
    val rule: String
        get() = "- name: $name\n  tokenHash: ${OperatorDirectory.hashOf(
            token,
        )}\n  sections: [${sections.joinToString()}]\n"

    /** Starts `yuccajunctionctl` with [arguments] against [entries]. */
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

    /** Starts `yuccajunctionctl` with [arguments] against [entries], waits for the end and returns the result. */
    fun run(entries: List<EntryHandle>, vararg arguments: String): CommandEnding = start(entries, *arguments).await()

    /** A `yuccajunctionctl` process that was started. */
    class RunningCommand(private val process: Process, private val output: File, private val errors: File) {
        /** Returns the result of the command; kills the process after [COMMAND_SECONDS]. */
        fun await(): CommandEnding {
            if (!process.waitFor(COMMAND_SECONDS, TimeUnit.SECONDS)) process.destroyForcibly().waitFor()
            val ending = CommandEnding(process.exitValue(), output.readText(), errors.readText())
            output.delete()
            errors.delete()
            return ending
        }
    }

    /** Exit code, standard output and standard error of a command. */
    data class CommandEnding(val code: Int, val output: String, val errors: String)

    private companion object {
        const val COMMAND_SECONDS = 60L
    }
}
