package org.yuccajunction.routing

import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Derives the state of one backend server from load reports, draining signals and the results of attempts.
 *
 * A server starts as [ServerState.COLD] and becomes [ServerState.READY] only after enough warm reports and completed
 * attempts. A ready server turns cold again at once when its incarnation changes, when it reports that it is cold, or
 * when its first tokens are suddenly slow. A server whose attempts fail or that leaves polls unanswered is
 * [ServerState.SUSPECT] until it reports again, and then starts cold. Each relapse from the ready state doubles the
 * evidence that is needed and the least time for which a server stays suspected.
 */
public object ServerStateTransitions {
    private const val MIN_WARM_REPORTS_WITH_ATTEMPTS = 2
    private const val MIN_COMPLETED_ATTEMPTS = 3
    private const val MIN_WARM_REPORTS_WITHOUT_ATTEMPTS = 4
    private const val MAX_RELAPSE_DOUBLINGS = 4
    private const val MIN_UNANSWERED_POLLS_TO_SUSPECT = 3
    private const val MIN_FAILURE_WEIGHT_TO_SUSPECT = 4
    private const val FAILURE_WEIGHT = 1
    private const val LOST_ANSWER_WEIGHT = 2

    /** Multiple of the mean time to the first token above which an answer that misses the target is slow. */
    private const val SLOW_FACTOR = 4.0
    private const val MIN_SLOW_ANSWERS_TO_TURN_COLD = 3
    private const val MOVING_AVERAGE_WEIGHT = 0.1

    /** Completed attempts in one state after which earlier relapses no longer count. */
    private const val RELAPSE_RESET_ATTEMPTS = 50
    private val INITIAL_SUSPICION_DURATION: Duration = 1.seconds

    /** Returns the record after a load poll: [report] is the server's answer, null where the server did not answer. */
    public fun afterPoll(record: ServerRecord, report: LoadReport?, now: MonotonicTime): ServerRecord =
        if (report == null) afterUnansweredPoll(record, now) else afterLoadReport(record, report, now)

    /**
     * Returns the record after an attempt at the server ended with [observation].
     *
     * [targetMillis] is the service's target for the time to the first token, or to the head of an application's
     * response. After a broken, silent or invalid answer the server is polled at once.
     */
    public fun afterAttempt(
        record: ServerRecord,
        observation: AttemptObservation,
        targetMillis: Long,
        now: MonotonicTime,
    ): ServerRecord =
        when (observation.result) {
            AttemptResult.COMPLETED -> afterCompletion(record, observation, targetMillis, now)
            AttemptResult.FAILED -> afterFailure(record, FAILURE_WEIGHT, now)
            AttemptResult.REJECTED ->
                afterFailure(record.copy(adaptiveLimit = record.adaptiveLimit.observe(false, now)), FAILURE_WEIGHT, now)
            AttemptResult.UNREACHABLE -> afterFailure(record, MIN_FAILURE_WEIGHT_TO_SUSPECT, now)
            AttemptResult.BROKEN, AttemptResult.SILENT, AttemptResult.INVALID ->
                afterFailure(record, LOST_ANSWER_WEIGHT, now).copy(nextPollAt = now)
            AttemptResult.CANCELLED -> record
        }

    /** Returns the record with [signals]; a server whose removal is no longer announced starts cold. */
    public fun withDrainingSignals(record: ServerRecord, signals: DrainingSignals, now: MonotonicTime): ServerRecord {
        val changed = record.copy(drainingSignals = signals)
        val leaving = signals.isDraining(now)
        return when {
            leaving && record.state != ServerState.LEAVING -> changed.entering(ServerState.LEAVING, now)
            !leaving && record.state == ServerState.LEAVING -> changed.entering(ServerState.COLD, now)
            else -> changed
        }
    }

    private fun afterUnansweredPoll(record: ServerRecord, now: MonotonicTime): ServerRecord {
        val polls = record.evidence.consecutiveUnansweredPolls + 1
        val updated =
            record.copy(
                evidence = record.evidence.copy(consecutiveUnansweredPolls = polls, consecutiveWarmReports = 0),
            )
        return if (polls >= MIN_UNANSWERED_POLLS_TO_SUSPECT) updated.suspected(now) else updated
    }

    private fun afterLoadReport(record: ServerRecord, report: LoadReport, now: MonotonicTime): ServerRecord {
        val restarted = record.report != null && record.report.incarnation != report.incarnation
        val warmReports = if (report.cold || restarted) 0 else record.evidence.consecutiveWarmReports + 1
        val updated =
            record.copy(
                report = report,
                reportedAt = now,
                evidence = record.evidence.copy(consecutiveWarmReports = warmReports, consecutiveUnansweredPolls = 0),
            )
        return when (record.state) {
            ServerState.LEAVING -> updated
            ServerState.READY -> if (report.cold || restarted) updated.entering(ServerState.COLD, now) else updated
            ServerState.COLD -> if (restarted) updated.entering(ServerState.COLD, now) else updated.readyIfWarm(now)
            ServerState.SUSPECT -> if (now - record.stateSince >=
                suspicionDuration(record)
            ) {
                updated.entering(ServerState.COLD, now)
            } else {
                updated
            }
        }
    }

    private fun afterCompletion(
        record: ServerRecord,
        observation: AttemptObservation,
        targetMillis: Long,
        now: MonotonicTime,
    ): ServerRecord {
        val completed = record.evidence.completedAttempts + 1
        val relapses = if (completed >= RELAPSE_RESET_ATTEMPTS) 0 else record.evidence.relapses
        val updated =
            record.copy(
                evidence =
                record.evidence.copy(
                    completedAttempts = completed,
                    consecutiveFailureWeight = 0,
                    relapses = relapses,
                ),
            )
        val millis = observation.firstTokenMillis ?: return updated
        return if (record.state == ServerState.READY) updated.withFirstTokenTime(millis, targetMillis, now) else updated
    }

    private fun ServerRecord.withFirstTokenTime(millis: Long, targetMillis: Long, now: MonotonicTime): ServerRecord {
        val average = evidence.meanFirstTokenMillis
        val withinTarget = millis <= targetMillis
        val slow = average != null && !withinTarget && millis > average * SLOW_FACTOR
        val slowAnswers = if (slow) evidence.consecutiveSlowAnswers + 1 else 0
        val newAverage =
            when {
                average == null -> millis.toDouble()
                slow -> average
                else -> average + (millis - average) * MOVING_AVERAGE_WEIGHT
            }
        val updated =
            copy(
                adaptiveLimit = adaptiveLimit.observe(withinTarget, now),
                evidence = evidence.copy(consecutiveSlowAnswers = slowAnswers, meanFirstTokenMillis = newAverage),
            )
        return if (slowAnswers >= MIN_SLOW_ANSWERS_TO_TURN_COLD) updated.entering(ServerState.COLD, now) else updated
    }

    private fun afterFailure(record: ServerRecord, weight: Int, now: MonotonicTime): ServerRecord {
        val sum = record.evidence.consecutiveFailureWeight + weight
        val updated = record.copy(evidence = record.evidence.copy(consecutiveFailureWeight = sum))
        return if (sum >= MIN_FAILURE_WEIGHT_TO_SUSPECT) updated.suspected(now) else updated
    }

    private fun ServerRecord.suspected(now: MonotonicTime): ServerRecord =
        when (state) {
            ServerState.LEAVING -> this
            ServerState.SUSPECT -> copy(stateSince = now)
            else -> entering(ServerState.SUSPECT, now)
        }

    private fun ServerRecord.readyIfWarm(now: MonotonicTime): ServerRecord {
        val factor = 1 shl evidence.relapses.coerceAtMost(MAX_RELAPSE_DOUBLINGS)
        val warmByAttempts =
            evidence.consecutiveWarmReports >= MIN_WARM_REPORTS_WITH_ATTEMPTS * factor &&
                evidence.completedAttempts >= MIN_COMPLETED_ATTEMPTS * factor
        val warmByReports = evidence.consecutiveWarmReports >= MIN_WARM_REPORTS_WITHOUT_ATTEMPTS * factor
        return if (warmByAttempts || warmByReports) entering(ServerState.READY, now) else this
    }

    private fun suspicionDuration(record: ServerRecord): Duration =
        INITIAL_SUSPICION_DURATION * (1 shl record.evidence.relapses.coerceAtMost(MAX_RELAPSE_DOUBLINGS))

    private fun ServerRecord.entering(next: ServerState, now: MonotonicTime): ServerRecord {
        val relapse = if (state == ServerState.READY) 1 else 0
        val average = evidence.meanFirstTokenMillis.takeIf { next == ServerState.READY }
        return copy(
            state = next,
            stateSince = now,
            adaptiveLimit = AdaptiveLimit(windowSince = now),
            evidence = ServerEvidence(relapses = evidence.relapses + relapse, meanFirstTokenMillis = average),
        )
    }
}
