package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.AttemptResult
import kotlin.time.Duration.Companion.seconds

/**
 * One entry's comparison of the new version of a move with the old version on one route.
 *
 * Latencies are compared only under the same load of a server, so that load does not count as a fault.
 *
 * @property oldFirstToken the old version's times to the first token or to the response, in milliseconds
 * @property oldPerToken the old version's times between tokens, in milliseconds
 * @property lastFailureAt when each server last failed an attempt; a crash that breaks several attempts counts once
 */
public data class RouteTrial(
    public val oldFirstToken: LatencyMeans = LatencyMeans(),
    public val oldPerToken: LatencyMeans = LatencyMeans(),
    public val oldFailures: FaultScore = FaultScore(),
    public val oldSlow: FaultScore = FaultScore(),
    public val newFailures: FaultScore = FaultScore(),
    public val newSlow: FaultScore = FaultScore(),
    public val lastFailureAt: PersistentMap<BackendServerId, MonotonicTime> = persistentMapOf(),
) {
    /** The reason for which the new version counts as faulty, null where it does not. */
    public val faultReason: String?
        get() =
            when {
                newFailures.isProven -> "${newFailures.faults} of ${newFailures.samples} attempts failed"
                newSlow.isProven -> "${newSlow.faults} of ${newSlow.samples} attempts were slow"
                else -> null
            }

    /** Returns the trial after [attempt] ended at the new version where [isNew], else at the old version. */
    public fun observe(attempt: AttemptObservation, isNew: Boolean, context: TrialContext): RouteTrial {
        val failed = isFailure(attempt, context) ?: return this
        val updated = if (failed) copy(lastFailureAt = lastFailureAt.put(attempt.server, context.now)) else this
        val judged =
            if (isNew) updated.observeNew(attempt, failed, context) else updated.observeOld(attempt, failed, context)
        return judged
    }

    private fun isFailure(attempt: AttemptObservation, context: TrialContext): Boolean? =
        when (attempt.result) {
            AttemptResult.COMPLETED -> false
            AttemptResult.FAILED, AttemptResult.INVALID -> true
            AttemptResult.BROKEN, AttemptResult.SILENT -> if (isNewLoss(attempt, context)) true else null
            AttemptResult.UNREACHABLE, AttemptResult.REJECTED, AttemptResult.CANCELLED -> null
        }

    private fun isNewLoss(attempt: AttemptObservation, context: TrialContext): Boolean {
        val last = lastFailureAt[attempt.server]
        return !context.serverDraining && (last == null || context.now - last >= SAME_CRASH_WINDOW)
    }

    private fun observeOld(attempt: AttemptObservation, failed: Boolean, context: TrialContext): RouteTrial {
        val slow = if (failed || !context.serverReady) null else isSlow(attempt, context)
        val open = context.load
        val updatesBaseline = !failed && context.serverReady
        return copy(
            oldFailures = oldFailures.count(failed),
            oldSlow = if (slow == null) oldSlow else oldSlow.count(slow),
            oldFirstToken = oldFirstToken.addIf(updatesBaseline, open, attempt.firstTokenMillis?.toDouble()),
            oldPerToken = oldPerToken.addIf(updatesBaseline, open, attempt.millisPerToken),
        )
    }

    private fun observeNew(attempt: AttemptObservation, failed: Boolean, context: TrialContext): RouteTrial {
        val baselineFailureRate = (oldFailures.rate ?: 0.0).coerceAtLeast(MIN_BASELINE_FAILURE_RATE)
        val failures = newFailures.add(failed, baselineFailureRate, FAILURE_RATE_INCREASE)
        val slow = if (failed || !context.serverReady) null else isSlow(attempt, context)
        if (slow == null) return copy(newFailures = failures)
        val baselineSlowRate = (oldSlow.rate ?: 0.0).coerceAtLeast(MIN_BASELINE_SLOW_RATE)
        return copy(newFailures = failures, newSlow = newSlow.add(slow, baselineSlowRate, SLOW_RATE_INCREASE))
    }

    /**
     * Returns whether the attempt was slow compared with the old version, null where there is nothing to compare with.
     *
     * The first token of a model is also late on a server whose cache does not hold the prompt yet. A late first token
     * therefore counts only where the latency target is missed as well.
     */
    private fun isSlow(attempt: AttemptObservation, context: TrialContext): Boolean? {
        val first = oldFirstToken.expected(context.load)
        val between = oldPerToken.expected(context.load)
        val firstMillis = attempt.firstTokenMillis
        if (first == null || firstMillis == null) return null
        val slowFirstToken = firstMillis > first * context.slowFactor + FIRST_TOKEN_SLACK_MILLIS
        val firstTokenCounts = between == null || firstMillis > context.targetMillis
        val perToken = attempt.millisPerToken
        val slowBetweenTokens =
            between != null && perToken != null && perToken > between * context.slowFactor + TOKEN_SLACK_MILLIS
        return slowFirstToken && firstTokenCounts || slowBetweenTokens
    }

    private fun LatencyMeans.addIf(condition: Boolean, open: Int, value: Double?): LatencyMeans =
        if (condition && value != null) add(open, value) else this

    private companion object {
        const val MIN_BASELINE_FAILURE_RATE = 0.01
        const val FAILURE_RATE_INCREASE = 0.3
        const val MIN_BASELINE_SLOW_RATE = 0.1
        const val SLOW_RATE_INCREASE = 0.4
        const val FIRST_TOKEN_SLACK_MILLIS = 20.0
        const val TOKEN_SLACK_MILLIS = 2.0
        val SAME_CRASH_WINDOW = 10.seconds
    }
}
