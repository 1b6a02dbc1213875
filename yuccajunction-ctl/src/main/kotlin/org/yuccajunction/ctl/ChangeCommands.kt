package org.yuccajunction.ctl

import arrow.core.getOrElse
import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer
import org.yuccajunction.configuration.ChangeOutcome
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision
import org.yuccajunction.operator.ChangeMessage
import org.yuccajunction.operator.DeploymentText
import org.yuccajunction.operator.OperatorPaths
import org.yuccajunction.operator.SwitchMessage
import org.yuccajunction.operator.SwitchTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Commands that change the configuration. */
internal class ChangeCommands(private val session: CtlSession) {
    /**
     * Replaces the sections that are in the file and differ from those in force.
     *
     * @param readAt revision at which the sections were read; null for the revision in the first line of the file
     * @param wait longest wait until every entry has the change in force; null for no wait
     */
    suspend fun apply(path: String, section: SectionName?, readAt: Long?, wait: Duration?): ExitCode {
        val file = DocumentFile.read(path, section).getOrElse { return usage(it) }
        if (file.findings.isNotEmpty()) {
            session.printFindings(file.findings)
            return ExitCode.INVALID
        }
        val revision = readAt?.let(::Revision) ?: file.readAt
            ?: return usage("say with --read-at at which revision the sections were read; 0 before the first change")
        val reply = session.client.get(OperatorPaths.DEPLOYMENT, DeploymentText.serializer())
        return session.onAnswer(reply) { current ->
            val changed = file.texts.filter { (name, text) -> text.trimEnd() != current.sections[name]?.trimEnd() }
            val message = ChangeMessage(changed, revision, session.newWriteId())
            if (changed.isEmpty()) {
                reportOutcome(ChangeOutcome.Accepted(current.revision), file, wait)
            } else {
                change(OperatorPaths.CHANGES, ChangeMessage.serializer(), message, file, wait)
            }
        }
    }

    /** Takes the availability zone or instance [name] out of service, or returns it to service. */
    suspend fun switch(target: SwitchTarget, name: String, out: Boolean, wait: Duration?): ExitCode {
        val message = SwitchMessage(target, name, out, session.newWriteId())
        return change(OperatorPaths.SWITCHES, SwitchMessage.serializer(), message, null, wait)
    }

    private suspend fun <M> change(
        path: String,
        serializer: KSerializer<M>,
        message: M,
        file: DocumentFile?,
        wait: Duration?,
    ): ExitCode {
        var mayHaveBeenReceived = false
        repeat(MAX_ATTEMPTS) { attempt ->
            if (attempt > 0) delay(RETRY_INTERVAL)
            when (val reply = session.client.post(path, serializer, message, ChangeOutcome.serializer())) {
                is Reply.Refused -> return session.refused(reply)
                is Reply.Unreachable -> mayHaveBeenReceived = mayHaveBeenReceived || reply.mayHaveBeenReceived
                is Reply.Answer -> {
                    val outcome = reply.value
                    val isUncertain = outcome is ChangeOutcome.Unknown || outcome is ChangeOutcome.Unavailable
                    mayHaveBeenReceived = mayHaveBeenReceived || outcome is ChangeOutcome.Unknown
                    if (!isUncertain) return reportOutcome(outcome, file, wait)
                }
            }
        }
        val outcome =
            if (mayHaveBeenReceived) {
                ChangeOutcome.Unknown("no entry knows what became of the change")
            } else {
                ChangeOutcome.Unavailable("no entry could reach the object API")
            }
        return reportOutcome(outcome, file, null)
    }

    private suspend fun reportOutcome(outcome: ChangeOutcome, file: DocumentFile?, wait: Duration?): ExitCode {
        if (session.isJson) session.printResult(ChangeOutcome.serializer(), outcome) { "" }
        return when (outcome) {
            is ChangeOutcome.Accepted -> {
                if (!session.isJson) session.console.print("accepted as revision ${outcome.revision}")
                if (wait == null) ExitCode.DONE else StatusPolling(session).awaitRevision(outcome.revision, wait)
            }
            is ChangeOutcome.Invalid -> {
                session.printFindings(outcome.findings.map { file?.withLineInFile(it) ?: it })
                ExitCode.INVALID
            }
            is ChangeOutcome.Conflict -> {
                val author = outcome.author?.let { " by $it" }.orEmpty()
                session.console.error("changed since$author; now revision ${outcome.current}. Get it and apply again.")
                ExitCode.CONFLICT
            }
            is ChangeOutcome.Unavailable -> {
                session.console.error("not changed: ${outcome.detail}")
                ExitCode.UNAVAILABLE
            }
            is ChangeOutcome.Unknown -> {
                session.console.error("may have been changed: ${outcome.detail}. Look at the history.")
                ExitCode.UNKNOWN
            }
        }
    }

    private fun usage(detail: String): ExitCode {
        session.console.error(detail)
        return ExitCode.USAGE
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
        val RETRY_INTERVAL = 500.milliseconds
    }
}
