package org.yuccajunction.load

import org.HdrHistogram.Histogram
import java.util.Locale

private const val MICROS_IN_MILLISECOND = 1_000.0
private const val MEDIAN = 50.0
private const val NINETY_FIVE = 95.0
private const val NINETY_NINE = 99.0
private const val PERCENT = 100

/** Writes results for people and as comma-separated values. */
public object TextReport {
    /** One line for each series, and one for the whole. */
    public fun text(result: LoadResult): String =
        buildString {
            appendLine("${result.name}: seed ${result.seed}, ${result.seconds} s, ${result.total} requests")
            appendLine("  sent late by p99 ${millis(result.lag, NINETY_NINE)} ms; ${outcomes(result)}")
            result.series.forEach { (key, series) ->
                appendLine("  ${key.workspace}/${key.kind}: ${line(series)}")
            }
        }

    /** One row for each series and histogram, times in milliseconds. */
    public fun csv(results: List<LoadResult>): String =
        buildString {
            appendLine("run,seed,workspace,kind,metric,count,p50,p95,p99,max,within_target")
            results.forEach { result ->
                result.series.forEach { (key, series) ->
                    histograms(series).forEach { (metric, histogram) ->
                        val start = listOf(result.name, result.seed, key.workspace, key.kind, metric)
                        appendLine((start + values(histogram) + number(series.withinTargetShare)).joinToString(","))
                    }
                }
            }
        }

    /** Returns a percentile of [histogram] in milliseconds. */
    public fun millis(histogram: Histogram, percentile: Double): String =
        number(histogram.getValueAtPercentile(percentile) / MICROS_IN_MILLISECOND)

    private fun histograms(series: Series): Map<String, Histogram> =
        mapOf("first_token" to series.firstToken, "between_tokens" to series.betweenTokens, "whole" to series.whole)

    private fun values(histogram: Histogram): List<Any> =
        listOf(
            histogram.totalCount,
            millis(histogram, MEDIAN),
            millis(histogram, NINETY_FIVE),
            millis(histogram, NINETY_NINE),
            number(histogram.maxValue / MICROS_IN_MILLISECOND),
        )

    private fun line(series: Series): String =
        "${series.total} requests, within target ${number(series.withinTargetShare * PERCENT)} %, " +
            histograms(series).entries.joinToString { (metric, histogram) ->
                "$metric p50 ${millis(histogram, MEDIAN)} p95 ${millis(histogram, NINETY_FIVE)} ms"
            }

    private fun outcomes(result: LoadResult): String =
        Outcome.entries.filter { result.count(it) > 0 }.joinToString { "${it.name.lowercase()} ${result.count(it)}" }

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.2f", value)
}
