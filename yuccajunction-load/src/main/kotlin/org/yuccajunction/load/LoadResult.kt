package org.yuccajunction.load

import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap

/**
 * What one run of a load measured.
 *
 * @property name label of the run
 * @property sendDelayMicros time by which the tool itself sent requests late, in microseconds
 */
public class LoadResult(public val name: String, public val seed: Long, public val seconds: Int) {
    private val bySeries = ConcurrentHashMap<SeriesKey, Series>()

    public val sendDelayMicros: Histogram = Series().whole

    /** The series in order of workspace and kind. */
    public val series: Map<SeriesKey, Series> get() = bySeries.toSortedMap(compareBy({ it.workspace }, { it.kind }))

    /** Requests that ended. */
    public val total: Long get() = bySeries.values.sumOf { it.total }

    /** Tokens and whole calls received in each second. */
    public val tokensPerSecond: Double get() = bySeries.values.sumOf { it.tokenCount }.toDouble() / seconds

    /** Returns the series of one workspace and kind. */
    public fun seriesOf(key: SeriesKey): Series = bySeries.computeIfAbsent(key) { Series() }

    /** Returns the number of requests that ended with [outcome]. */
    public fun count(outcome: Outcome): Long = bySeries.values.sumOf { it.outcomeCounts[outcome] ?: 0 }

    /** Returns the share of all requests that are within their target. */
    public fun withinTargetShare(): Double =
        if (total == 0L) 0.0 else bySeries.values.sumOf { it.withinTargetCount }.toDouble() / total

    /** Adds up one histogram of every series that [filter] lets through. */
    public fun sumHistograms(filter: (SeriesKey) -> Boolean = { true }, histogram: (Series) -> Histogram): Histogram {
        val sum = Histogram(Series().whole)
        bySeries.filterKeys(filter).values.forEach { sum.add(histogram(it)) }
        return sum
    }
}
