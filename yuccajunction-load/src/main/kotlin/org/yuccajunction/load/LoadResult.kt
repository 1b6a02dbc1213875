package org.yuccajunction.load

import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap

/**
 * Measurements of one execution of a load.
 *
 * @property name name of the execution in reports
 * @property sendDelayMicros delay in microseconds of the load generator itself in sending requests
 */
public class LoadResult(public val name: String, public val seed: Long, public val seconds: Int) {
    private val bySeries = ConcurrentHashMap<SeriesKey, Series>()

    public val sendDelayMicros: Histogram = Series().whole

    /** Series by workspace and kind, in this order. */
    public val series: Map<SeriesKey, Series> get() = bySeries.toSortedMap(compareBy({ it.workspace }, { it.kind }))

    /** Number of ended requests. */
    public val total: Long get() = bySeries.values.sumOf { it.total }

    /** Received tokens per second; the answer of an application call counts as one token. */
    public val tokensPerSecond: Double get() = bySeries.values.sumOf { it.tokenCount }.toDouble() / seconds

    /** Returns the series of [key], created on first use. */
    public fun seriesOf(key: SeriesKey): Series = bySeries.computeIfAbsent(key) { Series() }

    /** Returns the number of requests that ended with [outcome]. */
    public fun count(outcome: Outcome): Long = bySeries.values.sumOf { it.outcomeCounts[outcome] ?: 0 }

    /** Returns the fraction of ended requests with a complete answer within the target; 0 without requests. */
    public fun withinTargetShare(): Double =
        if (total == 0L) 0.0 else bySeries.values.sumOf { it.withinTargetCount }.toDouble() / total

    /** Returns the sum of the [histogram] of all series that match [filter]. */
    public fun sumHistograms(filter: (SeriesKey) -> Boolean = { true }, histogram: (Series) -> Histogram): Histogram {
        val sum = Histogram(Series().whole)
        bySeries.filterKeys(filter).values.forEach { sum.add(histogram(it)) }
        return sum
    }
}
