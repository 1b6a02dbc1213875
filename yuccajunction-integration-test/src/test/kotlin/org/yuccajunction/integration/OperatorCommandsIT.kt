package org.yuccajunction.integration

import org.junit.jupiter.api.io.TempDir
import org.yuccajunction.ctl.ExitCode
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Checks the commands of `yuccajunctionctl` against a deployment with three entries. */
class OperatorCommandsIT {
    @TempDir
    lateinit var folder: Path

    private lateinit var running: RunningDeployment
    private val all = listOf("models", "applications", "availability-zones", "versions", "traffic-rules")
    private val operator by lazy { OperatorCommand(folder, "amina", all) }
    private val colleague by lazy { OperatorCommand(folder, "omar", all) }
    private val rulesTeam by lazy { OperatorCommand(folder, "rules-team", listOf("traffic-rules")) }

    @AfterTest
    fun end() = running.close()

    @Test
    fun `the example document nile is applied, changed and reverted`() {
        start("talker-llm", "order-desk", "cairo")
        applyChangeAndTakeBack("nile", "example-key-design-desk", "talker-llm")
    }

    @Test
    fun `the example document magnolia is applied, changed and reverted`() {
        start("drafting-models", "pumpdesk-app", "south")
        applyChangeAndTakeBack("magnolia", "example-key-crews-on-site", "drafting-models")
    }

    @Test
    fun `an availability zone and a backend server are taken out and returned`() {
        start("talker-llm", "order-desk", "cairo")
        assertDone(run("zone", "take-out", "cairo-b", "--wait"))
        assertContains(run("get", "--section", "availability-zones").output, "takenOut: true")
        assertDone(run("zone", "return", "cairo-b", "--wait"))
        assertEquals(ExitCode.REFUSED.code, run("zone", "take-out", "cairo-z").code)
        assertDone(run("drain", "backend-server", "talker-llm-v1-1", "--wait"))
        assertContains(run("get", "--section", "traffic-rules").output, "talker-llm-v1-1")
        assertDone(run("drain", "backend-server", "talker-llm-v1-1", "--return"))
    }

    @Test
    fun `one of two operators who change the same section at the same time gets a conflict`() {
        start("talker-llm", "order-desk", "cairo")
        repeat(3) { round ->
            val revision = running.entries.maxOf { it.state().revision.value }
            val files = listOf(operator, colleague).mapIndexed { number, who ->
                who to write("rules-$number", rules(0.1 + 0.1 * number + 0.01 * round))
            }
            val commands = files.map { (who, file) ->
                who.start(
                    running.entries,
                    "apply",
                    file,
                    "--section",
                    "traffic-rules",
                    "--read-at",
                    "$revision",
                    "--wait",
                )
            }
            val endings = commands.map { it.await() }
            assertEquals(
                listOf(ExitCode.DONE.code, ExitCode.CONFLICT.code),
                endings.map {
                    it.code
                }.sorted(),
                "$endings",
            )
            val winner = files[endings.indexOfFirst { it.code == ExitCode.DONE.code }].second
            assertDone(run("diff", winner, "--section", "traffic-rules"))
        }
    }

    @Test
    fun `two operators who change different sections at the same time both succeed`() {
        start("talker-llm", "order-desk", "cairo")
        val file = write("rules", rules(0.4))
        val commands = listOf(
            operator.start(running.entries, "apply", file, "--section", "traffic-rules", "--read-at", "1", "--wait"),
            colleague.start(running.entries, "zone", "take-out", "cairo-a", "--wait"),
        )
        commands.map { it.await() }.forEach(::assertDone)
        assertContains(run("get").output, "takenOut: true")
        assertDone(run("diff", file, "--section", "traffic-rules"))
    }

    @Test
    fun `an operator may not write a section of another team`() {
        start("talker-llm", "order-desk", "cairo")
        val ending = rulesTeam.run(running.entries, "zone", "take-out", "cairo-a")
        assertEquals(ExitCode.REFUSED.code, ending.code)
        assertContains(ending.errors, "rules-team may not write availability-zones")
    }

    private fun applyChangeAndTakeBack(name: String, key: String, model: String) {
        val order = DraftOrder("Hello", tokens = 3, model)
        val example = Path.of("../examples/$name.yaml")
        assertEquals(401, TestCaller(key).draft(running.entries[0].caller, order).status)
        assertDone(run("apply", "$example", "--read-at", "1", "--wait"))
        assertEquals(listOf(2L, 2L, 2L), running.entries.map { it.state().revision.value })
        assertDone(run("diff", "$example"))
        assertEquals(200, TestCaller(key).draft(running.entries[1].caller, order).status)

        val changed = write("changed", example.readText().replace("retryShare: 0.1", "retryShare: 0.2"))
        assertEquals(ExitCode.DIFFERENT.code, run("diff", changed).code)
        assertDone(run("apply", changed, "--read-at", "2", "--wait"))
        assertContains(run("get", "--section", "traffic-rules").output, "# revision: 3\nretryShare: 0.2")

        assertDone(run("apply", "$example", "--read-at", "3", "--wait"))
        assertDone(run("diff", "$example"))
        val broken = write("broken", example.readText().replace("replicas: 8", "replicas: eight"))
        val ending = run("apply", broken, "--read-at", "4")
        assertEquals(ExitCode.INVALID.code, ending.code)
        assertContains(ending.errors, "models:6 ([0].replicas): \"eight\" is not a whole number")
        assertEquals(listOf(4L, 4L, 4L), running.entries.map { it.state().revision.value })
    }

    private fun start(model: String, application: String, zonePrefix: String) {
        val file = Files.writeString(folder.resolve("operators.yaml"), operator.rule + colleague.rule + rulesTeam.rule)
        running = deployment {
            entries(3)
            availabilityZones("$zonePrefix-a", "$zonePrefix-b", "$zonePrefix-c", "$zonePrefix-d")
            model(model)
            application(application)
            entryArguments += listOf("--operators-file", "$file")
        }
    }

    private fun rules(retryShare: Double) =
        "retryShare: %.2f\nworkspaces:\n- name: nile\n  keyHashes: [%s]\n".format(retryShare, sha256(running.key))

    private fun write(name: String, text: String): String =
        Files.writeString(folder.resolve("$name.yaml"), text).toString()

    private fun run(vararg arguments: String) = operator.run(running.entries, *arguments)

    private fun assertDone(ending: OperatorCommand.CommandEnding) = assertEquals(
        ExitCode.DONE.code,
        ending.code,
        "$ending",
    )
}
