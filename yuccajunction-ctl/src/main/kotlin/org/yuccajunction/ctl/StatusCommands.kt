package org.yuccajunction.ctl

import kotlinx.serialization.builtins.ListSerializer
import org.yuccajunction.model.Revision
import org.yuccajunction.operator.ExplainMessage
import org.yuccajunction.operator.InstanceReport
import org.yuccajunction.operator.OperatorPaths
import org.yuccajunction.operator.RoutingExplanation
import org.yuccajunction.operator.StatusReport
import kotlin.time.Duration

/** Commands that print the state of the system. */
internal class StatusCommands(private val session: CtlSession) {
    /** Prints the status; with [wait], first waits for [move], else for [revision], else for the newest revision. */
    suspend fun status(move: String?, revision: Long?, wait: Duration?): ExitCode =
        session.onAnswer(session.client.get(OperatorPaths.STATUS, StatusReport.serializer())) { status ->
            val code = when {
                wait == null -> ExitCode.DONE
                move != null -> StatusPolling(session).awaitMove(move, wait)
                else -> StatusPolling(session).awaitRevision(revision?.let(::Revision) ?: status.revision, wait)
            }
            val after = if (wait == null) status else newestStatus(status)
            session.printResult(StatusReport.serializer(), after, StatusText::status)
            code
        }

    /** Prints the state of every instance as each of the given entries sees it. */
    suspend fun instances(): ExitCode {
        val reports = mutableListOf<InstanceReport>()
        var code = ExitCode.DONE
        for (entry in session.client.entries) {
            code = session.onAnswer(session.client.get(entry, OperatorPaths.INSTANCES, InstanceReport.serializer())) {
                reports += it
                code
            }
        }
        if (reports.isEmpty()) return code
        session.printResult(ListSerializer(InstanceReport.serializer()), reports, StatusText::instances)
        return code
    }

    /** Prints to which backend server an entry would send the request in [message], and why. */
    suspend fun explain(message: ExplainMessage): ExitCode {
        val reply = session.client.post(
            OperatorPaths.EXPLANATIONS,
            ExplainMessage.serializer(),
            message,
            RoutingExplanation.serializer(),
        )
        return session.onAnswer(reply) {
            session.printResult(RoutingExplanation.serializer(), it, StatusText::explanation)
            ExitCode.DONE
        }
    }

    private suspend fun newestStatus(before: StatusReport): StatusReport {
        val reply = session.client.get(OperatorPaths.STATUS, StatusReport.serializer())
        return (reply as? Reply.Answer)?.value ?: before
    }
}
