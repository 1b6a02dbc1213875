package org.yuccajunction.load

import org.HdrHistogram.Histogram
import java.util.Locale

private const val MICROS_IN_MILLISECOND = 1_000.0
private const val P50 = 50.0
private const val P95 = 95.0
private const val P99 = 99.0
private const val PERCENT = 100

/** Formats results as text and as comma-separated values. */
public object TextReport {
    /** Returns a summary of [result] and one line for each series. */
    public fun text(result: LoadResult): String =
        buildString {
            appendLine("${result.name}: seed ${result.seed}, ${result.seconds} s, ${result.total} requests")
            appendLine("  sent late by p99 ${millis(result.sendDelayMicros, P99)} ms; ${outcomeSummary(result)}")
            result.series.forEach { (key, series) ->
                appendLine("  ${key.workspace}/${key.kind}: ${seriesLine(series)}")
            }
        }

    /** Returns a header and one row for each series and histogram, with times in milliseconds. */
    public fun csv(results: List<LoadResult>): String =
        buildString {
            appendLine("run,seed,workspace,kind,metric,count,p50,p95,p99,max,within_target")
            results.forEach { result ->
                result.series.forEach { (key, series) ->
                    histograms(series).forEach { (metric, histogram) ->
                        val start = listOf(result.name, result.seed, key.workspace, key.kind, metric)
                        appendLine((start + columns(histogram) + format(series.withinTargetShare)).joinToString(","))
                    }
                }
            }
        }

    /** Returns the [percentile] of [histogram], which counts microseconds, in milliseconds. */
    public fun millis(histogram: Histogram, percentile: Double): String =
        format(histogram.getValueAtPercentile(percentile) / MICROS_IN_MILLISECOND)

    private fun histograms(series: Series): Map<String, Histogram> =
        mapOf("first_token" to series.firstToken, "between_tokens" to series.betweenTokens, "whole" to series.whole)

    private fun columns(histogram: Histogram): List<Any> =
        listOf(
            histogram.totalCount,
            millis(histogram, P50),
            millis(histogram, P95),
            millis(histogram, P99),
            format(histogram.maxValue / MICROS_IN_MILLISECOND),
        )

    private fun seriesLine(series: Series): String =
        "${series.total} requests, within target ${format(series.withinTargetShare * PERCENT)} %, " +
            histograms(series).entries.joinToString { (metric, histogram) ->
                "$metric p50 ${millis(histogram, P50)} p95 ${millis(histogram, P95)} ms"
            }

    private fun outcomeSummary(result: LoadResult): String =
        Outcome.entries.filter { result.count(it) > 0 }.joinToString { "${it.name.lowercase()} ${result.count(it)}" }

    private fun format(value: Double): String = String.format(Locale.ROOT, "%.2f", value)
}
