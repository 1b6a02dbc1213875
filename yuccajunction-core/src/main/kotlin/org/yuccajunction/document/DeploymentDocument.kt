package org.yuccajunction.document

import com.charleskorn.kaml.YamlMap
import org.yuccajunction.model.Finding

/** Splits the whole deployment document into the texts of its sections and joins such texts to a document. */
public object DeploymentDocument {
    /** Value of [Finding.section] for faults that belong to no section. */
    public const val WHOLE_DOCUMENT: String = "document"

    private const val INDENT = "  "

    /** Returns the texts of the sections in [text]; an unknown or repeated section is a finding. */
    public fun split(text: String): DocumentSplitResult =
        YamlTree.parse(WHOLE_DOCUMENT, text).fold(
            { finding -> DocumentSplitResult(emptyMap(), listOf(finding)) },
            { node ->
                when (node) {
                    null -> DocumentSplitResult(emptyMap(), emptyList())
                    is YamlMap -> splitSections(text.lines(), node)
                    else -> DocumentSplitResult(emptyMap(), listOf(notAMappingFinding))
                }
            },
        )

    /** Returns the whole document with [sections] in the order of [SectionName]; [split] restores them. */
    public fun join(sections: Map<SectionName, String>): String =
        SectionName.entries
            .filter { it in sections }
            .joinToString("") { name -> name.key + ":\n" + indent(sections.getValue(name)) }

    private val notAMappingFinding =
        Finding(WHOLE_DOCUMENT, "", 1, "a document is a mapping from section names to sections")

    private fun splitSections(lines: List<String>, root: YamlMap): DocumentSplitResult {
        val keys = root.entries.keys.sortedBy { it.location.line }
        val findings = mutableListOf<Finding>()
        val sections = mutableMapOf<SectionName, SectionText>()
        keys.forEachIndexed { index, key ->
            val line = key.location.line
            val name = SectionName.of(key.content)
            val next = keys.getOrNull(index + 1)?.location?.line ?: (lines.size + 1)
            when {
                name == null -> findings += Finding(WHOLE_DOCUMENT, key.content, line, unknownSectionMessage)
                next == line ->
                    findings +=
                        Finding(WHOLE_DOCUMENT, key.content, line, "a section starts on a line of its own")
                else -> sections[name] = sectionText(lines.subList(line - 1, next - 1), line)
            }
        }
        return DocumentSplitResult(sections, findings)
    }

    private val unknownSectionMessage = "unknown section; known are " + SectionName.entries.joinToString { it.key }

    private fun sectionText(lines: List<String>, line: Int): SectionText {
        val inline = lines.first().substringAfter(':').trim()
        if (inline.isNotEmpty() && !inline.startsWith('#')) {
            return SectionText((listOf(inline) + lines.drop(1)).joinToString("\n").trimEnd() + "\n", line)
        }
        return SectionText(withoutIndent(lines.drop(1)).trimEnd() + "\n", line + 1)
    }

    private fun withoutIndent(lines: List<String>): String {
        val common = lines.filter { it.isNotBlank() }.minOfOrNull { line -> line.indexOfFirst { it != ' ' } } ?: 0
        return lines.joinToString("\n") { it.drop(common) }
    }

    private fun indent(text: String): String =
        text.trimEnd().lines().joinToString("") { if (it.isBlank()) "\n" else INDENT + it + "\n" }
}
