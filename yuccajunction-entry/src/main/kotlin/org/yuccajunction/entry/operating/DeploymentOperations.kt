package org.yuccajunction.entry.operating

import arrow.core.Either
import arrow.core.flatMap
import org.yuccajunction.configuration.ChangeOutcome
import org.yuccajunction.configuration.ChangeRequest
import org.yuccajunction.configuration.DeploymentEditor
import org.yuccajunction.configuration.DeploymentSnapshot
import org.yuccajunction.configuration.DeploymentStore
import org.yuccajunction.document.DeploymentReader
import org.yuccajunction.document.DeploymentWriter
import org.yuccajunction.document.OperatorRule
import org.yuccajunction.document.SectionEdit
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Finding
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.Revision
import org.yuccajunction.operator.ChangeMessage
import org.yuccajunction.operator.DeploymentText
import org.yuccajunction.operator.HistoryReport
import org.yuccajunction.operator.SwitchMessage
import org.yuccajunction.operator.SwitchTarget

/** Reads, checks and changes the configuration on behalf of operators. */
internal class DeploymentOperations(private val context: OperatorContext) {
    private val store = DeploymentStore(context.objects)
    private val editor = DeploymentEditor(context.objects, context.pauseBeforeAttempt)

    /** Returns the stored sections, or those in force at this entry if the store is unavailable or older. */
    suspend fun readText(): DeploymentText {
        val inForce = context.board().deployment
        val stored = store.readCurrent().getOrNull()
        if (stored == null || stored.head.revision < inForce.revision) {
            return DeploymentText(inForce.revision, DeploymentWriter.write(inForce), fromStore = false)
        }
        return textOf(stored)
    }

    /** Returns the sections of [revision], null if they are no longer stored, or a left value if the store failed. */
    suspend fun readText(revision: Revision): Either<String, DeploymentText?> =
        store.readCurrent().flatMap { current ->
            if (current.head.revision == revision) Either.Right(current) else store.readRevision(revision)
        }.map { it?.let(::textOf) }

    suspend fun history(): Either<String, HistoryReport> =
        store.readCurrent().map { HistoryReport(it.head.revision, it.head.changes.reversed()) }

    /** Returns the newest stored revision; null if the store is unavailable. */
    suspend fun storedRevision(): Revision? = store.readCurrent().getOrNull()?.head?.revision

    /** Returns the faults of the configuration that would result from replacing the sections in [texts]. */
    suspend fun validate(texts: Map<SectionName, String>): List<Finding> {
        val current = readText()
        return DeploymentReader.read(current.sections + texts, current.revision.next()).findings
    }

    suspend fun change(message: ChangeMessage, operator: OperatorRule): ChangeOutcome =
        editor.apply(requestOf(message, operator), context.board().deployment)

    /** Returns whether [texts] are valid and would change the operators in the configuration. */
    suspend fun changesOperators(texts: Map<SectionName, String>): Boolean {
        val proposed = texts[SectionName.TRAFFIC_RULES] ?: return false
        val wanted = operatorsOf(proposed) ?: return false
        return wanted != operatorsOf(readText().sections[SectionName.TRAFFIC_RULES].orEmpty()).orEmpty()
    }

    /** Edits the section that [message] concerns; after a conflict, retries on top of the other operators' changes. */
    suspend fun switch(message: SwitchMessage, operator: OperatorRule): Either<String, ChangeOutcome> {
        var outcome: ChangeOutcome = ChangeOutcome.Unavailable("other operators' changes came first")
        repeat(SWITCH_ATTEMPTS) {
            val current = readText()
            val section = sectionOf(message.target)
            val edited = editSection(message, current.sections[section].orEmpty())
            val text = edited.fold({ return Either.Left(it) }, { it })
            val change = ChangeMessage(mapOf(section to text), current.revision, message.writeId)
            outcome = change(change, operator)
            if (outcome !is ChangeOutcome.Conflict) return Either.Right(outcome)
        }
        return Either.Right(outcome)
    }

    private fun editSection(message: SwitchMessage, text: String): Either<String, String> =
        when (message.target) {
            SwitchTarget.AVAILABILITY_ZONE -> SectionEdit.setZoneTakenOut(
                text,
                AvailabilityZone(message.name),
                message.out,
            )
            SwitchTarget.ENTRY -> SectionEdit.setEntryDrained(text, InstanceId(message.name), message.out)
            SwitchTarget.BACKEND_SERVER ->
                SectionEdit.setBackendServerDrained(text, BackendServerId(message.name), message.out)
        }

    private fun requestOf(message: ChangeMessage, operator: OperatorRule) =
        ChangeRequest(message.sections, message.readAt, operator.name, message.writeId, context.currentInstant())

    private fun textOf(stored: DeploymentSnapshot) =
        DeploymentText(stored.head.revision, stored.texts, stored.head.sectionRevisions)

    private fun operatorsOf(text: String): List<OperatorRule>? =
        DeploymentReader
            .read(mapOf(SectionName.TRAFFIC_RULES to text), Revision.NONE)
            .takeIf { it.findings.isEmpty() }
            ?.deployment?.trafficRules?.operators

    companion object {
        private const val SWITCH_ATTEMPTS = 4

        /** Returns the section that a switch of [target] changes. */
        fun sectionOf(target: SwitchTarget): SectionName =
            if (target == SwitchTarget.AVAILABILITY_ZONE) SectionName.AVAILABILITY_ZONES else SectionName.TRAFFIC_RULES
    }
}
