package org.yuccajunction.rollout

import org.yuccajunction.document.VersionMove
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides the next status of a move. */
public object MoveSchedule {
    private const val PLANNED_TIME_FRACTION = 0.5
    private const val WANTED_SAMPLES_PER_STEP = 20L
    private const val MIN_SAMPLES_PER_STEP = 5L
    private const val STEPS_UNTIL_FEWER_SAMPLES = 2
    private const val MIN_COMPARED_SAMPLES = 50L
    private const val TOLERATED_RATE_EXCESS = 0.03
    private const val STANDARD_DEVIATIONS = 3.0
    private const val MAX_UTILIZATION_FRACTION = 0.85
    private const val MIN_SAMPLES_BEFORE_CUT_OVER = 10L

    /** A version of a service with few requests needs only its part of them, as one of this number. */
    private const val IDLE_SERVICE_DIVISOR = 4

    /** Fraction of the time limit for which a version stays on trial before a late cut-over. */
    private const val TRIAL_FRACTION = 0.6

    /** Time before the limit by which a late cut-over should have ended, so that the status is written in time. */
    private val COMPLETION_MARGIN = 600.milliseconds
    private const val MAX_MARGIN_FRACTION = 0.1

    /** Time before the limit from which a late cut-over waits only for requests that can't be repeated. */
    private val LAST_DECISION_MARGIN = 300.milliseconds

    /** Time after the limit for which a late cut-over waits for requests at the old version. */
    private val MAX_DRAIN_TIME = 3.seconds
    private val MIN_STEP = 2.seconds
    private val MAX_STEP = 300.seconds

    /**
     * The inputs of a decision.
     *
     * @property elapsed time since the move was accepted
     * @property sinceShareRaised time since the share was last raised
     * @property evidence sum of the counts of all entries
     * @property samplesWhenShareRaised attempts at the new version that were counted when the share was last raised
     * @property veto reason of a veto by any entry, null without a veto
     * @property usableServers servers of the new version that are ready or in cold start
     * @property neededCapacity requests in execution at both versions together
     * @property newVersionCapacity sum of the request limits of the ready servers of the new version
     * @property openAtOldVersion requests in execution at the old version
     * @property unrepeatableAtOldVersion those among them that can't go on at another server
     * @property isSuspicious whether the newest counts make a fault likelier than none, though it is not proven
     * @property hasCurrentReports whether the counts of the other entries are current; a pause makes them old
     */
    public data class Situation(
        public val elapsed: Duration,
        public val sinceShareRaised: Duration,
        public val evidence: MoveEvidence,
        public val samplesWhenShareRaised: Long,
        public val veto: String?,
        public val usableServers: Int,
        public val neededCapacity: Int,
        public val newVersionCapacity: Int,
        public val openAtOldVersion: Int = 0,
        public val unrepeatableAtOldVersion: Int = 0,
        public val isSuspicious: Boolean = false,
        public val hasCurrentReports: Boolean = true,
    )

    /** Returns the status that follows [current], equal to [current] where nothing changes. */
    public fun nextStatus(
        move: VersionMove,
        current: MoveStatus,
        situation: Situation,
        pace: MovePace = MovePace.DOUBLING,
    ): MoveStatus {
        if (current.isFinal) return current
        val fault = situation.veto ?: faultExcess(situation.evidence)
        if (fault != null) return current.rolledBack(fault)
        if (!situation.hasCurrentReports) return current.copy(detail = "other entries' counts are not current")
        val obstacle = obstacle(move, current, situation, pace)
        val inTime = situation.elapsed < decisionTime(move, pace)
        val isCutOver = pace == MovePace.LATE_CUT_OVER && current.share >= 1.0
        return when {
            obstacle == null -> current.withRaisedShare(move, pace)
            isCutOver && !mayStillComplete(move, situation) -> current.rolledBack(obstacle)
            isCutOver -> current.copy(detail = obstacle)
            !inTime -> current.rolledBack("not completed within ${move.completeWithinSeconds} s: $obstacle")
            current.phase == MovePhase.WAITING -> current.copy(detail = obstacle)
            situation.sinceShareRaised > stepTime(move) * (STEPS_UNTIL_FEWER_SAMPLES + 1) ->
                current.copy(phase = MovePhase.LATE, detail = obstacle)
            else -> current
        }
    }

    private fun decisionTime(move: VersionMove, pace: MovePace): Duration =
        when (pace) {
            MovePace.DOUBLING -> move.completeWithinSeconds.seconds
            MovePace.LATE_CUT_OVER -> completionTime(move)
        }

    /** Returns the time from the start of a [MovePace.LATE_CUT_OVER] at which the old version should be idle. */
    public fun completionTime(move: VersionMove): Duration {
        val limit = move.completeWithinSeconds.seconds
        return limit - minOf(COMPLETION_MARGIN, limit * MAX_MARGIN_FRACTION)
    }

    /** Returns the least time for which a share is kept before it is raised. */
    public fun stepTime(move: VersionMove): Duration {
        val steps = generateSequence(move.firstShare) { it * 2 }.takeWhile { it < 1.0 }.count() + 1
        val planned = move.completeWithinSeconds.seconds * PLANNED_TIME_FRACTION / steps
        return planned.coerceIn(MIN_STEP, MAX_STEP)
    }

    private fun MoveStatus.rolledBack(reason: String) =
        copy(phase = MovePhase.TAKEN_BACK, share = 0.0, detail = reason)

    private fun MoveStatus.withRaisedShare(move: VersionMove, pace: MovePace): MoveStatus =
        when {
            phase == MovePhase.WAITING -> copy(phase = MovePhase.MOVING, share = move.firstShare, detail = "")
            share >= 1.0 -> copy(phase = MovePhase.DONE, detail = "all new requests go to ${move.to}")
            pace == MovePace.LATE_CUT_OVER -> copy(phase = MovePhase.MOVING, share = 1.0, detail = "")
            else -> copy(phase = MovePhase.MOVING, share = minOf(1.0, share * 2), detail = "")
        }

    /** Returns why the share can't be raised yet, null where it can. */
    private fun obstacle(move: VersionMove, current: MoveStatus, situation: Situation, pace: MovePace): String? {
        if (situation.usableServers == 0) return "no server of ${move.to} is ready or in cold start"
        if (current.phase == MovePhase.WAITING) return null
        return when (pace) {
            MovePace.DOUBLING -> doublingObstacle(move, current, situation)
            MovePace.LATE_CUT_OVER -> lateCutOverObstacle(move, current, situation)
        }
    }

    private fun doublingObstacle(move: VersionMove, current: MoveStatus, situation: Situation): String? {
        val step = stepTime(move)
        if (situation.sinceShareRaised < step) return "the share was raised too recently"
        val samples = situation.evidence.new.samples - situation.samplesWhenShareRaised
        val wanted =
            if (situation.sinceShareRaised >= step * STEPS_UNTIL_FEWER_SAMPLES) {
                MIN_SAMPLES_PER_STEP
            } else {
                WANTED_SAMPLES_PER_STEP
            }
        if (samples < wanted) return "$samples of $wanted required attempts at ${move.to} were counted"
        return capacityShortage(move, shareAfter = minOf(1.0, current.share * 2), situation)
    }

    private fun mayStillComplete(move: VersionMove, situation: Situation): Boolean =
        situation.elapsed < move.completeWithinSeconds.seconds + MAX_DRAIN_TIME

    private fun lateCutOverObstacle(move: VersionMove, current: MoveStatus, situation: Situation): String? {
        val limit = move.completeWithinSeconds.seconds
        val counts = situation.evidence
        val wanted =
            minOf(MIN_SAMPLES_BEFORE_CUT_OVER, (counts.new.samples + counts.old.samples) / IDLE_SERVICE_DIVISOR)
        val isLast = situation.elapsed >= limit - LAST_DECISION_MARGIN
        val open = if (isLast) situation.unrepeatableAtOldVersion else situation.openAtOldVersion
        return when {
            current.share >= 1.0 && situation.elapsed < completionTime(move) -> "requests are still moving"
            situation.isSuspicious -> "the newest attempts make a fault of ${move.to} likely"
            current.share >= 1.0 && open > 0 && mayStillComplete(move, situation) ->
                "$open requests are open at the old version"
            current.share >= 1.0 -> null
            situation.elapsed < limit * TRIAL_FRACTION -> "the trial of ${move.to} has not lasted long enough"
            counts.new.samples < wanted -> "${counts.new.samples} of $wanted required attempts were counted"
            else -> capacityShortage(move, shareAfter = 1.0, situation)
        }
    }

    private fun capacityShortage(move: VersionMove, shareAfter: Double, situation: Situation): String? {
        val needed = situation.neededCapacity * shareAfter
        val enough = needed <= situation.newVersionCapacity * MAX_UTILIZATION_FRACTION
        return if (enough) null else "servers of ${move.to} take ${situation.newVersionCapacity} requests, not $needed"
    }

    private fun faultExcess(evidence: MoveEvidence): String? {
        val failed = isExcess(evidence.new.failed, evidence.new.samples, evidence.old.failed, evidence.old.samples)
        val slow = isExcess(evidence.new.slow, evidence.new.samples, evidence.old.slow, evidence.old.samples)
        return when {
            failed -> "a larger share of attempts failed than at the old version: ${evidence.new} to ${evidence.old}"
            slow -> "a larger share of attempts were slow than at the old version: ${evidence.new} to ${evidence.old}"
            else -> null
        }
    }

    private fun isExcess(newFaults: Long, newSamples: Long, oldFaults: Long, oldSamples: Long): Boolean {
        if (newSamples < MIN_COMPARED_SAMPLES || oldSamples < MIN_COMPARED_SAMPLES) return false
        val new = newFaults.toDouble() / newSamples
        val old = oldFaults.toDouble() / oldSamples
        val deviation = sqrt(maxOf(new, old) * (1 - minOf(new, old)) / newSamples)
        return new > old + TOLERATED_RATE_EXCESS + STANDARD_DEVIATIONS * deviation
    }
}
