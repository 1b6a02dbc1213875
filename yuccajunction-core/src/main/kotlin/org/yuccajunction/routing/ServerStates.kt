package org.yuccajunction.routing

import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides the believed state of one backend server from reports, announcements and the endings of attempts.
 *
 * A server starts [ServerState.COLD] and becomes [ServerState.READY] on evidence only. It turns cold again at once when
 * its incarnation changes, it says so, or its first tokens are suddenly slow. A failing or silent one is
 * [ServerState.SUSPECT] until it reports again, and then starts cold.
 */
public object ServerStates {
    private const val WARM_REPORTS_WITH_ATTEMPTS = 2
    private const val WARM_ATTEMPTS = 3
    private const val WARM_REPORTS_ALONE = 4
    private const val LARGEST_RELAPSE_DOUBLING = 4
    private const val UNANSWERED_POLLS = 3
    private const val SUSPECT_WEIGHT = 4
    private const val FAILURE_WEIGHT = 1
    private const val LOST_ANSWER_WEIGHT = 2
    private const val SLOW_FACTOR = 4.0
    private const val SLOW_ANSWERS = 3
    private const val AVERAGE_GAIN = 0.1
    private const val FORGIVING_ATTEMPTS = 50
    private val FIRST_SUSPICION: Duration = 1.seconds

    /** Returns the record after the server answered a poll with [report], or did not answer where it is null. */
    public fun reported(record: ServerRecord, report: LoadReport?, now: MonotonicTime): ServerRecord =
        if (report == null) unanswered(record, now) else answered(record, report, now)

    /** Returns the record after an attempt at the server ended as [observation] says. */
    public fun attempted(
        record: ServerRecord,
        observation: AttemptObservation,
        targetMillis: Long,
        now: MonotonicTime,
    ): ServerRecord =
        when (observation.result) {
            AttemptResult.COMPLETED -> completed(record, observation, targetMillis, now)
            AttemptResult.FAILED -> failed(record, FAILURE_WEIGHT, now)
            AttemptResult.REJECTED ->
                failed(record.copy(limit = record.limit.observe(false, now)), FAILURE_WEIGHT, now)
            AttemptResult.UNREACHABLE -> failed(record, SUSPECT_WEIGHT, now)
            AttemptResult.BROKEN, AttemptResult.SILENT, AttemptResult.INVALID ->
                failed(record, LOST_ANSWER_WEIGHT, now).copy(pollAt = now)
            AttemptResult.CANCELLED -> record
        }

    /** Returns the record after its announcements became [signs]; a server that stays after all starts cold. */
    public fun announced(record: ServerRecord, signs: LeavingSigns, now: MonotonicTime): ServerRecord {
        val changed = record.copy(signs = signs)
        val leaving = signs.any(now)
        return when {
            leaving && record.state != ServerState.LEAVING -> changed.enter(ServerState.LEAVING, now)
            !leaving && record.state == ServerState.LEAVING -> changed.enter(ServerState.COLD, now)
            else -> changed
        }
    }

    private fun unanswered(record: ServerRecord, now: MonotonicTime): ServerRecord {
        val polls = record.evidence.unansweredPolls + 1
        val noted = record.copy(evidence = record.evidence.copy(unansweredPolls = polls, warmReports = 0))
        return if (polls >= UNANSWERED_POLLS) noted.suspect(now) else noted
    }

    private fun answered(record: ServerRecord, report: LoadReport, now: MonotonicTime): ServerRecord {
        val restarted = record.report != null && record.report.incarnation != report.incarnation
        val warmReports = if (report.cold || restarted) 0 else record.evidence.warmReports + 1
        val noted =
            record.copy(
                report = report,
                reportedAt = now,
                evidence = record.evidence.copy(warmReports = warmReports, unansweredPolls = 0),
            )
        return when (record.state) {
            ServerState.LEAVING -> noted
            ServerState.READY -> if (report.cold || restarted) noted.enter(ServerState.COLD, now) else noted
            ServerState.COLD -> if (restarted) noted.enter(ServerState.COLD, now) else noted.warmedUp(now)
            ServerState.SUSPECT -> if (now - record.stateSince >=
                suspicion(record)
            ) {
                noted.enter(ServerState.COLD, now)
            } else {
                noted
            }
        }
    }

    private fun completed(
        record: ServerRecord,
        observation: AttemptObservation,
        targetMillis: Long,
        now: MonotonicTime,
    ): ServerRecord {
        val completed = record.evidence.completed + 1
        val relapses = if (completed >= FORGIVING_ATTEMPTS) 0 else record.evidence.relapses
        val noted =
            record.copy(
                evidence = record.evidence.copy(completed = completed, failureWeight = 0, relapses = relapses),
            )
        val millis = observation.firstTokenMillis ?: return noted
        return if (record.state == ServerState.READY) noted.timed(millis, targetMillis, now) else noted
    }

    private fun ServerRecord.timed(millis: Long, targetMillis: Long, now: MonotonicTime): ServerRecord {
        val average = evidence.firstTokenMillis
        val withinTarget = millis <= targetMillis
        val slow = average != null && !withinTarget && millis > average * SLOW_FACTOR
        val slowAnswers = if (slow) evidence.slowAnswers + 1 else 0
        val newAverage =
            when {
                average == null -> millis.toDouble()
                slow -> average
                else -> average + (millis - average) * AVERAGE_GAIN
            }
        val noted =
            copy(
                limit = limit.observe(withinTarget, now),
                evidence = evidence.copy(slowAnswers = slowAnswers, firstTokenMillis = newAverage),
            )
        return if (slowAnswers >= SLOW_ANSWERS) noted.enter(ServerState.COLD, now) else noted
    }

    private fun failed(record: ServerRecord, weight: Int, now: MonotonicTime): ServerRecord {
        val sum = record.evidence.failureWeight + weight
        val noted = record.copy(evidence = record.evidence.copy(failureWeight = sum))
        return if (sum >= SUSPECT_WEIGHT) noted.suspect(now) else noted
    }

    private fun ServerRecord.suspect(now: MonotonicTime): ServerRecord =
        when (state) {
            ServerState.LEAVING -> this
            ServerState.SUSPECT -> copy(stateSince = now)
            else -> enter(ServerState.SUSPECT, now)
        }

    private fun ServerRecord.warmedUp(now: MonotonicTime): ServerRecord {
        val factor = 1 shl evidence.relapses.coerceAtMost(LARGEST_RELAPSE_DOUBLING)
        val proven =
            evidence.warmReports >= WARM_REPORTS_WITH_ATTEMPTS * factor && evidence.completed >= WARM_ATTEMPTS * factor
        val trusted = evidence.warmReports >= WARM_REPORTS_ALONE * factor
        return if (proven || trusted) enter(ServerState.READY, now) else this
    }

    private fun suspicion(record: ServerRecord): Duration =
        FIRST_SUSPICION * (1 shl record.evidence.relapses.coerceAtMost(LARGEST_RELAPSE_DOUBLING))

    private fun ServerRecord.enter(next: ServerState, now: MonotonicTime): ServerRecord {
        val relapse = if (state == ServerState.READY) 1 else 0
        val average = evidence.firstTokenMillis.takeIf { next == ServerState.READY }
        return copy(
            state = next,
            stateSince = now,
            limit = AdaptiveLimit(windowSince = now),
            evidence = ServerEvidence(relapses = evidence.relapses + relapse, firstTokenMillis = average),
        )
    }
}
