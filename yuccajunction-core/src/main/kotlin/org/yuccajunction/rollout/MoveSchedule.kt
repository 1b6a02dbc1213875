package org.yuccajunction.rollout

import org.yuccajunction.document.VersionMove
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides the next status of a move; only the holder of the lease `rollout` uses this. */
public object MoveSchedule {
    private const val PLANNED_TIME_FRACTION = 0.5
    private const val WANTED_SAMPLES_PER_STEP = 20L
    private const val MIN_SAMPLES_PER_STEP = 5L
    private const val STEPS_UNTIL_FEWER_SAMPLES = 2
    private const val MIN_COMPARED_SAMPLES = 50L
    private const val TOLERATED_RATE_EXCESS = 0.03
    private const val STANDARD_DEVIATIONS = 3.0
    private const val MAX_UTILIZATION_FRACTION = 0.85
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
    )

    /** Returns the status that follows [current], equal to [current] where nothing changes. */
    public fun nextStatus(move: VersionMove, current: MoveStatus, situation: Situation): MoveStatus {
        if (current.phase == MovePhase.DONE || current.phase == MovePhase.TAKEN_BACK) return current
        val fault = situation.veto ?: faultExcess(situation.evidence)
        if (fault != null) return current.rolledBack(fault)
        val obstacle = obstacle(move, current, situation)
        val inTime = situation.elapsed < move.completeWithinSeconds.seconds
        return when {
            obstacle == null -> current.withRaisedShare(move)
            !inTime -> current.rolledBack("not completed within ${move.completeWithinSeconds} s: $obstacle")
            current.phase == MovePhase.WAITING -> current.copy(detail = obstacle)
            situation.sinceShareRaised > stepTime(
                move,
            ) * (STEPS_UNTIL_FEWER_SAMPLES + 1) -> current.copy(phase = MovePhase.LATE, detail = obstacle)
            else -> current
        }
    }

    /** Returns the least time for which a share is kept before it is raised. */
    public fun stepTime(move: VersionMove): Duration {
        val steps = generateSequence(move.firstShare) { it * 2 }.takeWhile { it < 1.0 }.count() + 1
        val planned = move.completeWithinSeconds.seconds * PLANNED_TIME_FRACTION / steps
        return planned.coerceIn(MIN_STEP, MAX_STEP)
    }

    private fun MoveStatus.rolledBack(reason: String) =
        copy(phase = MovePhase.TAKEN_BACK, share = 0.0, detail = reason)

    private fun MoveStatus.withRaisedShare(move: VersionMove): MoveStatus =
        when {
            phase == MovePhase.WAITING -> copy(phase = MovePhase.MOVING, share = move.firstShare, detail = "")
            share >= 1.0 -> copy(phase = MovePhase.DONE, detail = "all new requests go to ${move.to}")
            else -> copy(phase = MovePhase.MOVING, share = minOf(1.0, share * 2), detail = "")
        }

    /** Returns why the share can't be raised yet, null where it can. */
    private fun obstacle(move: VersionMove, current: MoveStatus, situation: Situation): String? {
        if (situation.usableServers == 0) return "no server of ${move.to} is ready or in cold start"
        if (current.phase == MovePhase.WAITING) return null
        val step = stepTime(move)
        if (situation.sinceShareRaised < step) return "the share was raised too recently"
        val samples = situation.evidence.new.samples - situation.samplesWhenShareRaised
        val wanted =
            if (situation.sinceShareRaised >= step * STEPS_UNTIL_FEWER_SAMPLES) {
                MIN_SAMPLES_PER_STEP
            } else {
                WANTED_SAMPLES_PER_STEP
            }
        return if (samples <
            wanted
        ) {
            "$samples of $wanted required attempts at ${move.to} were counted"
        } else {
            capacityShortage(move, current, situation)
        }
    }

    private fun capacityShortage(move: VersionMove, current: MoveStatus, situation: Situation): String? {
        val needed = situation.neededCapacity * minOf(1.0, current.share * 2)
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
