package org.yuccajunction.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.yuccajunction.document.DeploymentDocument
import org.yuccajunction.document.DocumentSplitResult
import org.yuccajunction.document.SectionName
import org.yuccajunction.document.SectionText
import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * File with the whole document or one section.
 *
 * @property readAt revision in the first line, in the form of [header]; null if there is none
 */
internal class DocumentFile(val readAt: Revision?, private val reading: DocumentSplitResult) {
    /** Texts of the sections in the file. */
    val texts: Map<SectionName, String> get() = reading.sections.mapValues { it.value.text }

    /** Findings about the division of the file into sections. */
    val findings: List<Finding> get() = reading.findings

    /** Returns [finding] with its line number in the section replaced by the one in the file. */
    fun withLineInFile(finding: Finding): Finding {
        val section = SectionName.of(finding.section)?.let { reading.sections[it] } ?: return finding
        return finding.copy(line = finding.line?.let { it + section.firstLine - 1 })
    }

    companion object {
        private val headerPattern = Regex("# revision: ([0-9]+)")

        /** Returns the first line of a file whose content was read at [revision]. */
        fun header(revision: Revision): String = "# revision: $revision"

        /** Reads [path]; if [section] is given, the whole file is that section. */
        fun read(path: String, section: SectionName?): Either<String, DocumentFile> =
            try {
                val text = Files.readString(Path.of(path))
                val readAt = headerPattern.matchAt(text, 0)?.groupValues?.get(1)?.toLongOrNull()?.let(::Revision)
                val reading = if (section == null) DeploymentDocument.split(text) else whole(section, text)
                DocumentFile(readAt, reading).right()
            } catch (exception: IOException) {
                "$path can't be read: ${exception.javaClass.simpleName}".left()
            }

        private fun whole(section: SectionName, text: String): DocumentSplitResult {
            val withoutHeader = if (headerPattern.matchesAt(text, 0)) text.substringAfter('\n', "") else text
            val firstLine = if (withoutHeader.length < text.length) 2 else 1
            return DocumentSplitResult(mapOf(section to SectionText(withoutHeader, firstLine)), emptyList())
        }
    }
}
