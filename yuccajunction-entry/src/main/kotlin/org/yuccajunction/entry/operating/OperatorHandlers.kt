package org.yuccajunction.entry.operating

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.json.Json
import org.yuccajunction.configuration.ChangeOutcome
import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.document.OperatorRule
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision
import org.yuccajunction.operator.ChangeMessage
import org.yuccajunction.operator.DeploymentText
import org.yuccajunction.operator.ExplainMessage
import org.yuccajunction.operator.HistoryReport
import org.yuccajunction.operator.InstanceReport
import org.yuccajunction.operator.RoutingExplanation
import org.yuccajunction.operator.SectionTexts
import org.yuccajunction.operator.StatusReport
import org.yuccajunction.operator.SwitchMessage
import org.yuccajunction.operator.ValidationReport
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.rollout.MoveStatus

/** Computes the responses of the operator API. */
internal class OperatorHandlers(private val context: OperatorContext) {
    private val deployments = DeploymentOperations(context)

    suspend fun deployment(revision: String?): OperatorAnswer {
        if (revision == null) return OperatorAnswer.of(DeploymentText.serializer(), deployments.readText())
        val number = revision.toLongOrNull()?.takeIf { it >= 0 }
            ?: return OperatorAnswer.problem(
                HttpStatusCode.BadRequest,
                "the revision is not a whole number of at least 0: $revision",
            )
        return deployments.readText(Revision(number)).fold(::storeUnavailable) { text ->
            text?.let { OperatorAnswer.of(DeploymentText.serializer(), it) }
                ?: OperatorAnswer.problem(HttpStatusCode.NotFound, "revision $revision is no longer stored")
        }
    }

    suspend fun history(): OperatorAnswer =
        deployments.history().fold(::storeUnavailable) { OperatorAnswer.of(HistoryReport.serializer(), it) }

    suspend fun status(): OperatorAnswer {
        val revision = deployments.storedRevision()
        val moves = if (revision == null) emptyList() else storedMoves()
        return OperatorAnswer.of(StatusReport.serializer(), OperatorReports.status(context.board(), revision, moves))
    }

    fun instances(): OperatorAnswer =
        OperatorAnswer.of(
            InstanceReport.serializer(),
            OperatorReports.instances(context.board(), context.openRequests),
        )

    fun explain(message: ExplainMessage): OperatorAnswer =
        OperatorAnswer.of(RoutingExplanation.serializer(), context.explain(message))

    suspend fun validate(texts: SectionTexts): OperatorAnswer {
        val findings = deployments.validate(texts.sections)
        return OperatorAnswer.of(ValidationReport.serializer(), ValidationReport(findings))
    }

    suspend fun change(message: ChangeMessage, operator: OperatorRule): OperatorAnswer {
        writeIdProblem(message.writeId)?.let { return it }
        sectionsProblem(message.sections.keys, operator)?.let { return it }
        if (!operator.administrator && deployments.changesOperators(message.sections)) {
            return forbidden("only an administrator may change the operators in the configuration")
        }
        return answerOf(deployments.change(message, operator))
    }

    suspend fun switch(message: SwitchMessage, operator: OperatorRule): OperatorAnswer {
        writeIdProblem(message.writeId)?.let { return it }
        sectionsProblem(setOf(DeploymentOperations.sectionOf(message.target)), operator)?.let { return it }
        if (message.name.isBlank()) {
            return OperatorAnswer.problem(
                HttpStatusCode.BadRequest,
                "the name to switch is blank",
            )
        }
        return deployments.switch(message, operator)
            .fold({ OperatorAnswer.problem(HttpStatusCode.NotFound, it) }, ::answerOf)
    }

    private fun sectionsProblem(sections: Set<SectionName>, operator: OperatorRule): OperatorAnswer? {
        val refused = sections - operator.sections.toSet()
        if (refused.isEmpty()) return null
        return forbidden("${operator.name} may not write ${refused.joinToString { it.key }}")
    }

    private fun forbidden(detail: String) = OperatorAnswer.problem(HttpStatusCode.Forbidden, detail)

    private fun writeIdProblem(writeId: String): OperatorAnswer? {
        if (WRITE_ID.matches(writeId)) return null
        return OperatorAnswer.problem(
            HttpStatusCode.BadRequest,
            "the write id must be 1 to 64 letters, digits, '-', '_' or '.'",
        )
    }

    private fun answerOf(outcome: ChangeOutcome): OperatorAnswer {
        val status = when (outcome) {
            is ChangeOutcome.Accepted -> HttpStatusCode.OK
            is ChangeOutcome.Invalid -> HttpStatusCode.UnprocessableEntity
            is ChangeOutcome.Conflict -> HttpStatusCode.Conflict
            is ChangeOutcome.Unavailable -> HttpStatusCode.ServiceUnavailable
            is ChangeOutcome.Unknown -> HttpStatusCode.GatewayTimeout
        }
        return OperatorAnswer.of(ChangeOutcome.serializer(), outcome, status)
    }

    private fun storeUnavailable(detail: String) =
        OperatorAnswer.problem(HttpStatusCode.ServiceUnavailable, "the object API is unavailable: $detail")

    private suspend fun storedMoves(): List<MoveStatus> =
        when (val listing = context.objects.list(ObjectKeys.moveStatus(""))) {
            is ObjectListing.Listed -> listing.objects.mapNotNull { it.value }.mapNotNull(::moveStatus)
            is ObjectListing.Compacted, is ObjectListing.Unavailable -> emptyList()
        }

    private fun moveStatus(text: String): MoveStatus? =
        try {
            json.decodeFromString(MoveStatus.serializer(), text)
        } catch (exception: IllegalArgumentException) {
            null
        }

    private companion object {
        val WRITE_ID = Regex("[A-Za-z0-9_.-]{1,64}")
        val json = Json { ignoreUnknownKeys = true }
    }
}
