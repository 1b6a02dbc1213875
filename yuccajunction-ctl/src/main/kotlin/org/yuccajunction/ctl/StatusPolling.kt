package org.yuccajunction.ctl

import kotlinx.coroutines.delay
import org.yuccajunction.model.Revision
import org.yuccajunction.operator.OperatorPaths
import org.yuccajunction.operator.StatusReport
import org.yuccajunction.rollout.MovePhase
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Polls the status of the system until it meets a condition, and prints the progress. */
internal class StatusPolling(private val session: CtlSession) {
    /** Waits until every live entry has [revision] or a newer one in force; on timeout, prints those that have not. */
    suspend fun awaitRevision(revision: Revision, atMost: Duration): ExitCode {
        var behind = listOf<String>()
        val exitCode = poll(atMost) { status ->
            val live = status.entries.filterNot { it.suspected }
            behind = live.filter { it.revision < revision }.map { "${it.entry} has ${it.revision}" }
            session.console.progress(
                "revision $revision in force at ${live.size - behind.size} of ${live.size} entries",
            )
            ExitCode.DONE.takeIf { behind.isEmpty() }
        }
        if (exitCode == null) {
            session.console.error("not in force everywhere: " + behind.joinToString().ifEmpty { "no answer" })
        }
        return exitCode ?: ExitCode.TIMED_OUT
    }

    /** Waits until [move] is done or taken back. */
    suspend fun awaitMove(move: String, atMost: Duration): ExitCode {
        val exitCode = poll(atMost) { status ->
            val known = status.moves.find { it.move == move }
            session.console.progress(known?.let(StatusText::move) ?: "$move is not known yet")
            when (known?.phase) {
                MovePhase.DONE -> ExitCode.DONE
                MovePhase.TAKEN_BACK -> ExitCode.TAKEN_BACK
                else -> null
            }
        }
        if (exitCode == null) session.console.error("$move is neither done nor taken back")
        return exitCode ?: ExitCode.TIMED_OUT
    }

    private suspend fun poll(atMost: Duration, check: (StatusReport) -> ExitCode?): ExitCode? {
        val end = TimeSource.Monotonic.markNow() + atMost
        while (end.hasNotPassedNow()) {
            val reply = session.client.get(OperatorPaths.STATUS, StatusReport.serializer())
            if (reply is Reply.Refused) return session.refused(reply)
            val exitCode = (reply as? Reply.Answer)?.value?.let(check)
            if (exitCode != null) {
                session.console.endProgress()
                return exitCode
            }
            delay(POLL_INTERVAL)
        }
        return null
    }

    private companion object {
        val POLL_INTERVAL = 250.milliseconds
    }
}
