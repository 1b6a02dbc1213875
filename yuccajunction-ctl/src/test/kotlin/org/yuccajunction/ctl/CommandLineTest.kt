package org.yuccajunction.ctl

import com.sun.net.httpserver.HttpServer
import org.junit.jupiter.api.io.TempDir
import java.net.InetAddress
import java.net.InetSocketAddress
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

    @Test
    fun `explain without a host needs a service and a workspace, as before`() {
        val token = mapOf("YUCCAJUNCTION_TOKEN" to "t")
        assertEquals(ExitCode.USAGE, run("--entries", "127.0.0.1:1", "explain", environment = token))
        assertEquals("name the service with --service, or a host with --host\n", errors.toString())
    }

    @Test
    fun `explain of a forwarded request needs no token and prints terms, ages and reasons`() {
        val uris = ArrayList<String>()
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        server.createContext("/v1/forward-explanations") { exchange ->
            uris += exchange.requestURI.toString()
            val body = EXPLANATION.toByteArray()
            exchange.responseHeaders.add("Content-Type", "application/json")
            exchange.sendResponseHeaders(200, body.size.toLong())
            exchange.responseBody.use { it.write(body) }
        }
        server.start()
        val entry = "127.0.0.1:${server.address.port}"
        val arguments = arrayOf("--host", "h", "--path", "/a b", "--workspace", "w", "--prompt-part", "p:5")
        assertEquals(ExitCode.DONE, run("--entries", entry, "explain", *arguments))
        server.stop(0)
        assertEquals(
            "/v1/forward-explanations?host=h&path=%2Fa+b&method=POST&workspace=w&part=p%3A5&answerTokens=0",
            uris.single(),
        )
        val lines = output.lines()
        assertEquals("e at revision 2 (confirmed 7 ms ago), 1 live entries", lines[0])
        assertEquals("the request goes to s-1", lines[3])
        assertEquals(listOf("*", "s-1", "z", "v", "1.5", "1.5", "30", "ms"), lines[5].trim().split(Regex(" +")))
        assertEquals(listOf("s-2", "z", "v", "COLD"), lines[6].trim().split(Regex(" +")))
    }

    private companion object {
        const val EXPLANATION =
            """{"entry":"e","revision":2,"configurationAgeMillis":7,"liveEntries":1,"method":"POST","route":"r",
            "service":"s","admission":null,"quotaRemaining":null,"chosen":"s-1","outcome":"goes to s-1","candidates":[
            {"id":"s-1","availabilityZone":"z","version":"v","holdReason":null,"terms":{"wait":1.5},
             "totalMillis":1.5,"knowledgeAgeMillis":30},
            {"id":"s-2","availabilityZone":"z","version":"v","holdReason":"COLD","terms":null,"totalMillis":null,
             "knowledgeAgeMillis":null}]}"""
    }

    private fun run(vararg arguments: String, environment: Map<String, String> = emptyMap()): ExitCode {
        val console = Console({ output.append(it) }, { errors.append(it) }, isTerminal = false)
        return CommandLine(environment, console).run(arrayOf(*arguments))
    }

    private fun write(text: String): String = Files.writeString(folder.resolve("document.yaml"), text).toString()
}
