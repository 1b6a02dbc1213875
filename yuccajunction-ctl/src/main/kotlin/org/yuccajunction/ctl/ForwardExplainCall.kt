package org.yuccajunction.ctl

import io.ktor.http.Parameters
import io.ktor.http.formUrlEncode
import org.yuccajunction.operator.ForwardExplainMessage
import org.yuccajunction.operator.ForwardExplanation
import org.yuccajunction.operator.OperatorPaths

/** Asks an entry how it would forward a request, and prints the answer. */
internal class ForwardExplainCall(private val session: CtlSession) {
    suspend fun explain(message: ForwardExplainMessage): ExitCode {
        val path = "${OperatorPaths.FORWARD_EXPLANATIONS}?${query(message).formUrlEncode()}"
        return session.onAnswer(session.client.get(path, ForwardExplanation.serializer())) {
            session.printResult(ForwardExplanation.serializer(), it, ::text)
            ExitCode.DONE
        }
    }

    private fun query(message: ForwardExplainMessage): Parameters =
        Parameters.build {
            append("host", message.host)
            append("path", message.path)
            append("method", message.method)
            message.workspace?.let { append("workspace", it) }
            appendAll("part", message.promptParts)
            message.promptTokens?.let { append("promptTokens", it.toString()) }
            append("answerTokens", message.answerTokens.toString())
        }

    private fun text(report: ForwardExplanation): String {
        val confirmed = report.configurationAgeMillis?.let { "confirmed $it ms ago" } ?: "never confirmed"
        val admission = report.admission?.let { "rejected: $it" } ?: "admitted"
        val quota = report.quotaRemaining?.let { ", quota left %.0f".format(it) }.orEmpty()
        return "${report.entry} at revision ${report.revision} ($confirmed), ${report.liveEntries} live entries\n" +
            "route ${report.route}, service ${report.service}\nadmission: $admission$quota\n" +
            "the request ${report.outcome}\n" + TextTable.of(header(report), report.candidates.map { row(report, it) })
    }

    private fun termNames(report: ForwardExplanation): List<String> =
        report.candidates.firstNotNullOfOrNull { it.terms }?.keys?.toList().orEmpty()

    private fun header(report: ForwardExplanation): List<String> =
        listOf("SERVER", "ZONE", "VERSION") + termNames(report).map { it.uppercase() } +
            listOf("TOTAL MS", "AGE", "HELD")

    private fun row(report: ForwardExplanation, candidate: ForwardExplanation.Candidate): List<String> {
        val terms = termNames(report).map { name -> candidate.terms?.get(name)?.let(::millis).orEmpty() }
        val mark = if (candidate.id == report.chosen) "* " else ""
        val age = candidate.knowledgeAgeMillis?.let { "$it ms" }.orEmpty()
        return listOf(mark + candidate.id, candidate.availabilityZone, candidate.version) + terms +
            listOf(candidate.totalMillis?.let(::millis).orEmpty(), age, candidate.holdReason.orEmpty())
    }

    private fun millis(value: Double): String = "%.1f".format(value)
}
