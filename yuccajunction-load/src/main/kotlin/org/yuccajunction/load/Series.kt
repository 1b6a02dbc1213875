package org.yuccajunction.load

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

private const val SIGNIFICANT_DIGITS = 3
private const val MAXIMUM_MICROS = 600_000_000L

/**
 * Latencies and outcomes of the requests of one series, in microseconds.
 *
 * Latencies count from the scheduled time of the request, so that a late send counts as latency.
 */
public class Series {
    /** Time to the first token, or to the complete answer of an application call. */
    public val firstToken: Histogram = histogram()

    /** Time from one token of a request to the next. */
    public val betweenTokens: Histogram = histogram()

    /** Time to the end of a complete answer. */
    public val whole: Histogram = histogram()

    private val countsByOutcome = ConcurrentHashMap<Outcome, LongAdder>()
    private val withinTarget = LongAdder()
    private val tokens = LongAdder()

    /** Number of ended requests by outcome. */
    public val outcomeCounts: Map<Outcome, Long> get() = countsByOutcome.mapValues { it.value.sum() }

    /** Number of ended requests. */
    public val total: Long get() = outcomeCounts.values.sum()

    /** Number of received tokens; the answer of an application call counts as one. */
    public val tokenCount: Long get() = tokens.sum()

    /** Number of requests with a complete answer whose first token arrived within the target. */
    public val withinTargetCount: Long get() = withinTarget.sum()

    /** Fraction of ended requests that [withinTargetCount] counts; 0 without requests. */
    public val withinTargetShare: Double get() = if (total == 0L) 0.0 else withinTarget.sum().toDouble() / total

    /** Records a token. */
    internal fun recordToken(isFirst: Boolean, microsSinceScheduled: Long, microsSinceLastToken: Long) {
        tokens.increment()
        if (isFirst) {
            firstToken.recordValue(boundedMicros(microsSinceScheduled))
        } else {
            betweenTokens.recordValue(boundedMicros(microsSinceLastToken))
        }
    }

    /** Records the end of a request. */
    internal fun recordEnd(outcome: Outcome, isFirstTokenWithinTarget: Boolean, microsSinceScheduled: Long) {
        countsByOutcome.computeIfAbsent(outcome) { LongAdder() }.increment()
        if (outcome != Outcome.WHOLE) return
        whole.recordValue(boundedMicros(microsSinceScheduled))
        if (isFirstTokenWithinTarget) withinTarget.increment()
    }

    private fun boundedMicros(micros: Long): Long = micros.coerceIn(0, MAXIMUM_MICROS)

    private fun histogram(): Histogram = ConcurrentHistogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS)
}
