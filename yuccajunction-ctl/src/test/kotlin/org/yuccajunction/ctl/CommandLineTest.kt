package org.yuccajunction.ctl

import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class CommandLineTest {
    @TempDir
    lateinit var folder: Path

    private val output = StringBuilder()
    private val errors = StringBuilder()

    @Test
    fun `both examples have no findings`() {
        assertEquals(ExitCode.DONE, run("validate", "--offline", "../examples/nile.yaml"))
        assertEquals(ExitCode.DONE, run("validate", "--offline", "../examples/magnolia.yaml"))
        assertEquals("no findings\nno findings\n", output.toString())
    }

    @Test
    fun `a finding names the line in the file`() {
        val file = write("models: []\nversions:\n\n  - nme: a\n")
        assertEquals(ExitCode.INVALID, run("validate", "--offline", file))
        assertEquals("versions:4", errors.toString().substringBefore(' '))
    }

    @Test
    fun `an unreadable file is a usage error that names the file`() {
        assertEquals(ExitCode.USAGE, run("validate", "--offline", "nothing.yaml"))
        assertEquals("nothing.yaml can't be read: NoSuchFileException\n", errors.toString())
    }

    @Test
    fun `missing entries and a missing token are usage errors`() {
        assertEquals(ExitCode.USAGE, run("status"))
        assertEquals(ExitCode.USAGE, run("--entries", "127.0.0.1:1", "status"))
        assertEquals(
            "name entries with --entries or YUCCAJUNCTION_ENTRIES\n" +
                "give a token with --token-file, YUCCAJUNCTION_TOKEN_FILE or YUCCAJUNCTION_TOKEN\n",
            errors.toString(),
        )
    }

    @Test
    fun `a refused connection ends with UNAVAILABLE`() {
        val code = run("--entries", "127.0.0.1:1", "status", environment = mapOf("YUCCAJUNCTION_TOKEN" to "t"))
        assertEquals(ExitCode.UNAVAILABLE, code)
        assertEquals("http://127.0.0.1:1 takes no connection\n", errors.toString())
    }

    private fun run(vararg arguments: String, environment: Map<String, String> = emptyMap()): ExitCode {
        val console = Console({ output.append(it) }, { errors.append(it) }, isTerminal = false)
        return CommandLine(environment, console).run(arrayOf(*arguments))
    }

    private fun write(text: String): String = Files.writeString(folder.resolve("document.yaml"), text).toString()
}
