package org.yuccajunction.document

import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DeploymentReaderTest {
    @Test
    fun `every finding of a section holds its path and line`() {
        val text = """
            - name: talker llm
              version: v1
              replicas: many
              requestLimit: 0
              firstTokenTargetMillis: 630ms
              coldLimit: 1
            - version: v1
              fencing: yes
        """.trimIndent()
        assertEquals(
            listOf(
                "models:1 ([0].name): \"talker llm\" is not a name of letters, digits, '-', '_' and '.'",
                "models:3 ([0].replicas): \"many\" is not a whole number (replicas)",
                "models:4 ([0].requestLimit): 0 is not in 1..100000",
                "models:5 ([0].firstTokenTargetMillis): \"630ms\" is not a whole number; " +
                    "the unit is not written, it is milliseconds",
                "models:6 ([0].coldLimit): unknown key; did you mean coldRequestLimit?",
                "models:8 ([1].fencing): \"yes\" is neither true nor false",
                "models:7 ([1]): lacks name",
                "models:7 ([1]): lacks replicas",
                "models:7 ([1]): lacks requestLimit",
            ),
            findings(SectionName.MODELS to text),
        )
    }

    @Test
    fun `a value of the wrong kind, a missing one or one out of range is a finding`() {
        assertEquals(listOf("models:1: is not a list"), findings(SectionName.MODELS to "name: a"))
        assertEquals(listOf("versions:1: has no value"), findings(SectionName.VERSIONS to "null"))
        assertEquals(
            listOf("traffic-rules:1: has no content; write [] or {} for none"),
            findings(SectionName.TRAFFIC_RULES to "# nothing"),
        )
        assertEquals(
            listOf("traffic-rules:1 (retryShare): 1.5 is not from 0.0 to 1.0"),
            findings(SectionName.TRAFFIC_RULES to "retryShare: 1.5"),
        )
    }

    @Test
    fun `a finding of a rule across sections holds section, path and line`() {
        val found = findings(
            SectionName.MODELS to "- {name: a, version: v1, replicas: 1, requestLimit: 2, coldRequestLimit: 3}",
            SectionName.APPLICATIONS to "- {name: a, version: v1, replicas: 1, requestLimit: 2}",
            SectionName.VERSIONS to """
                - {name: m, service: b, from: v1, to: v2, completeWithinSeconds: 9}
                - {name: n, service: a, from: v7, to: v8, completeWithinSeconds: 9}
            """.trimIndent(),
            SectionName.AVAILABILITY_ZONES to "- {name: z, region: r}\n- {name: z, region: r}",
            SectionName.TRAFFIC_RULES to """
                workspaces:
                  - name: w
                    keyHashes: [$HASH]
                  - name: x
                    keyHashes:
                      - $HASH
            """.trimIndent(),
        )
        assertEquals(
            listOf(
                "availability-zones:2 ([1].name): repeats [0].name",
                "applications:1 ([0].name): a model is named a, too",
                "traffic-rules:6 (workspaces[1].keyHashes[0]): the same key is listed before",
                "models:1 ([0].coldRequestLimit): 3 is above the requestLimit of 2",
                "versions:1 ([0].service): there is no model or application b",
                "versions:2 ([1].from): a has version v1",
            ),
            found.take(6),
        )
    }

    @Test
    fun `a section with findings keeps its previous content and the others take effect`() {
        val previous = read(SectionName.MODELS to model("v1"), SectionName.VERSIONS to "[]").deployment
        val texts = mapOf(SectionName.MODELS to "nonsense", SectionName.TRAFFIC_RULES to "retryShare: 0.3")
        val reading = DeploymentReader.read(texts, Revision(2), previous)
        assertEquals(listOf(ServiceVersion("v1")), reading.deployment.models.map { it.version })
        assertEquals(0.3, reading.deployment.trafficRules.retryShare)
        assertEquals(Revision(2), reading.deployment.revision)
        assertEquals(listOf("models"), reading.findings.map { it.section })
    }

    @Test
    fun `a section that breaks a rule across sections keeps its previous content`() {
        val move = "- {name: m, service: gone, from: v1, to: v2, completeWithinSeconds: 9}"
        val reading = read(SectionName.MODELS to model("v1"), SectionName.VERSIONS to move)
        assertEquals(emptyList(), reading.deployment.versions)
        assertEquals(listOf(ServiceName("a")), reading.deployment.models.map { it.name })
    }

    @Test
    fun `reading a written deployment returns the same deployment`() {
        val example = DeploymentDocument.split(ExampleDocuments.magnolia).sections.mapValues { it.value.text }
        val deployment = DeploymentReader.read(example, Revision(1)).deployment
        assertEquals(DeploymentReadResult(deployment, emptyList()), read(DeploymentWriter.write(deployment)))
    }

    @Test
    fun `a text that is too long or nested too deeply gives a single finding`() {
        val large = findings(SectionName.MODELS to "a".repeat(YamlTree.MAXIMUM_CHARACTERS + 1))
        assertEquals(listOf("models: longer than 524288 characters"), large)
        assertEquals(listOf("models:1: nested too deeply"), findings(SectionName.MODELS to "[".repeat(100_000)))
        assertEquals(listOf("models:1: nested too deeply"), findings(SectionName.MODELS to "- ".repeat(100_000) + "a"))
        val steps = (0 until 500).joinToString("\n") { " ".repeat(it) + "a:" }
        assertEquals(listOf("models:66: nested too deeply"), findings(SectionName.MODELS to steps))
    }

    @Test
    fun `the reader does not throw for randomly mutated documents`() {
        val seeds = listOf(ExampleDocuments.nile, ExampleDocuments.magnolia)
        repeat(FUZZ_RUNS) { seed ->
            val random = Random(seed)
            val text = mutate(seeds[seed % seeds.size], random)
            val document = DeploymentDocument.split(text)
            val texts = document.sections.mapValues { it.value.text }
            val reading = DeploymentReader.read(texts, Revision(1))
            assertTrue(reading.findings.size <= MOST_FINDINGS, "seed $seed: ${reading.findings.size} findings")
            SectionName.entries.forEach { DeploymentReader.read(mapOf(it to text), Revision(1)) }
        }
    }

    private fun mutate(text: String, random: Random): String {
        val builder = StringBuilder(text)
        repeat(1 + random.nextInt(12)) {
            val at = random.nextInt(builder.length)
            val end = minOf(builder.length, at + 1 + random.nextInt(40))
            when (random.nextInt(4)) {
                0 -> builder.deleteRange(at, end)
                1 -> builder.insert(at, fragments[random.nextInt(fragments.size)])
                2 -> builder.insert(at, builder.substring(at, end).repeat(1 + random.nextInt(200)))
                else -> builder[at] = random.nextInt(0x1_0000).toChar()
            }
            if (builder.isEmpty()) builder.append('a')
        }
        return builder.toString()
    }

    private fun findings(vararg sections: Pair<SectionName, String>): List<String> =
        read(*sections).findings.map { it.toString() }

    private fun read(vararg sections: Pair<SectionName, String>) = read(mapOf(*sections))

    private fun read(sections: Map<SectionName, String>) = DeploymentReader.read(sections, Revision(1))

    private fun model(version: String) = "- {name: a, version: $version, replicas: 1, requestLimit: 2}"

    private companion object {
        const val HASH = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
        const val FUZZ_RUNS = 1_500
        const val MOST_FINDINGS = 20_000
        val fragments = listOf(
            "&a ", "*a", "!!binary ", "!x ", "[", "{", "]", "}", "? ", "- ", ": ", "|\n", ">\n", "\"", "'", "\t",
            "\u0000",
            "<<: ", "%YAML 1.2\n", "---\n", "...\n",
            "9".repeat(
                400,
            ),
            "1e999", ".nan", "null", "~", "# ", "\r", "\uD800",
            "models:\n", "[[[[[[[[[[[[[[[", "{a: {a: {a: {a: ", "- - - - - - - ",
        )
    }
}
