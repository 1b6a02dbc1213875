package org.yuccajunction.load

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

private const val SIGNIFICANT_DIGITS = 3
private const val MAXIMUM_MICROS = 600_000_000L

/** What was measured of one series; every time is in microseconds from the scheduled time of the request. */
public class Series {
    /** Time to the first token, or to the whole answer of a call. */
    public val firstToken: Histogram = histogram()

    /** Time from one token to the next. */
    public val betweenTokens: Histogram = histogram()

    /** Time to the whole answer. */
    public val whole: Histogram = histogram()

    private val countsByOutcome = ConcurrentHashMap<Outcome, LongAdder>()
    private val withinTarget = LongAdder()
    private val tokens = LongAdder()

    /** Requests by their end. */
    public val outcomeCounts: Map<Outcome, Long> get() = countsByOutcome.mapValues { it.value.sum() }

    /** Requests that ended. */
    public val total: Long get() = outcomeCounts.values.sum()

    /** Tokens and whole calls received. */
    public val tokenCount: Long get() = tokens.sum()

    /** Requests that got their whole answer, its first token within the target. */
    public val withinTargetCount: Long get() = withinTarget.sum()

    /** Share of all requests that got their whole answer, its first token within the target; 0 where there are none. */
    public val withinTargetShare: Double get() = if (total == 0L) 0.0 else withinTarget.sum().toDouble() / total

    internal fun recordToken(isFirst: Boolean, microsSinceScheduled: Long, microsSinceLastToken: Long) {
        tokens.increment()
        if (isFirst) {
            firstToken.recordValue(boundedMicros(microsSinceScheduled))
        } else {
            betweenTokens.recordValue(boundedMicros(microsSinceLastToken))
        }
    }

    internal fun recordEnd(outcome: Outcome, isFirstTokenWithinTarget: Boolean, microsSinceScheduled: Long) {
        countsByOutcome.computeIfAbsent(outcome) { LongAdder() }.increment()
        if (outcome != Outcome.WHOLE) return
        whole.recordValue(boundedMicros(microsSinceScheduled))
        if (isFirstTokenWithinTarget) withinTarget.increment()
    }

    private fun boundedMicros(micros: Long): Long = micros.coerceIn(0, MAXIMUM_MICROS)

    private fun histogram(): Histogram = ConcurrentHistogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS)
}
