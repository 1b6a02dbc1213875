package org.yuccajunction.ctl

import arrow.core.getOrElse
import org.yuccajunction.document.DeploymentDocument
import org.yuccajunction.document.DeploymentReader
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision
import org.yuccajunction.operator.DeploymentText
import org.yuccajunction.operator.HistoryReport
import org.yuccajunction.operator.OperatorPaths
import org.yuccajunction.operator.SectionTexts
import org.yuccajunction.operator.ValidationReport

/** Commands that read the document and compare files with it. */
internal class DocumentCommands(private val session: CtlSession) {
    /** Prints the document or one section, with the revision in the first line. */
    suspend fun get(section: SectionName?, revision: Long?): ExitCode {
        val path = OperatorPaths.DEPLOYMENT + revision?.let { "?revision=$it" }.orEmpty()
        return session.onAnswer(session.client.get(path, DeploymentText.serializer())) { text ->
            if (!text.fromStore) session.console.error("the object API can't be had: this is what is in force")
            session.printResult(DeploymentText.serializer(), text) { textOf(it, section) }
            ExitCode.DONE
        }
    }

    /** Prints the findings of a file, by itself or together with the other sections in force. */
    suspend fun validate(path: String, section: SectionName?, offline: Boolean): ExitCode {
        val file = DocumentFile.read(path, section).getOrElse { return usage(it) }
        if (offline) {
            val findings = file.findings + DeploymentReader.read(file.texts, Revision.NONE).findings
            return reportFindings(findings.map(file::withLineInFile))
        }
        val texts = SectionTexts(file.texts)
        val reply = session.client.post(
            OperatorPaths.VALIDATION,
            SectionTexts.serializer(),
            texts,
            ValidationReport.serializer(),
        )
        return session.onAnswer(reply) { reportFindings((file.findings + it.findings).map(file::withLineInFile)) }
    }

    /** Prints a line diff between the sections in force and those in a file. */
    suspend fun diff(path: String, section: SectionName?): ExitCode {
        val file = DocumentFile.read(path, section).getOrElse { return usage(it) }
        return session.onAnswer(session.client.get(OperatorPaths.DEPLOYMENT, DeploymentText.serializer())) { current ->
            val differences = file.texts
                .mapValues { (name, text) -> LineDiff.of(current.sections[name].orEmpty(), text) }
                .filterValues { it.isNotEmpty() }
            differences.forEach { (name, lines) ->
                session.console.print("@@ ${name.key}\n" + lines.joinToString("\n"))
            }
            if (differences.isEmpty()) ExitCode.DONE else ExitCode.DIFFERENT
        }
    }

    /** Prints the newest accepted changes. */
    suspend fun history(): ExitCode =
        session.onAnswer(session.client.get(OperatorPaths.HISTORY, HistoryReport.serializer())) { history ->
            session.printResult(HistoryReport.serializer(), history) { report ->
                val rows = report.changes.map { listOf("${it.revision}", it.at, it.author, it.section.key) }
                TextTable.of(listOf("REVISION", "AT", "AUTHOR", "SECTION"), rows)
            }
            ExitCode.DONE
        }

    private fun textOf(text: DeploymentText, section: SectionName?): String {
        val body = if (section == null) DeploymentDocument.join(text.sections) else text.sections[section].orEmpty()
        return DocumentFile.header(text.revision) + "\n" + body
    }

    private fun reportFindings(findings: List<Finding>): ExitCode {
        if (session.isJson) {
            session.printResult(ValidationReport.serializer(), ValidationReport(findings)) { "" }
        } else {
            session.printFindings(findings)
            if (findings.isEmpty()) session.console.print("no findings")
        }
        return if (findings.isEmpty()) ExitCode.DONE else ExitCode.INVALID
    }

    private fun usage(detail: String): ExitCode {
        session.console.error(detail)
        return ExitCode.USAGE
    }
}
