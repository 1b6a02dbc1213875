package org.yuccajunction.load

import org.HdrHistogram.Histogram
import java.util.Locale
import kotlin.math.log10
import kotlin.math.pow

private const val WIDTH = 720.0
private const val HEIGHT = 400.0
private const val MARGIN = 50.0
private const val PERCENTILE_DECADES = 4.0
private const val MICROS_IN_MILLISECOND = 1_000.0
private const val CURVE_SEGMENTS = 160
private const val LEGEND_LINE = 16.0
private const val LEGEND_INDENT = 10.0
private const val PERCENT = 100.0
private const val DECADE_FACTOR = 10.0
private val MARKED_PERCENTILES = listOf(50.0, 90.0, 99.0, 99.9)
private val COLOURS = listOf("#1b6ca8", "#c0392b", "#27864a", "#8e44ad", "#b9770e", "#34495e")

/** Draws latency over percentiles as SVG; the percentile axis is logarithmic in the distance to 100. */
public object PlotReport {
    /** Returns an SVG with one curve for each histogram in [curves], whose values are microseconds. */
    public fun svg(title: String, curves: Map<String, Histogram>): String {
        val highestMillis = curves.values.maxOfOrNull { it.maxValue / MICROS_IN_MILLISECOND }?.coerceAtLeast(1.0) ?: 1.0
        return buildString {
            appendLine("""<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$HEIGHT" font-size="12">""")
            appendLine("""<rect width="100%" height="100%" fill="white"/>""")
            appendLine("""<text x="$MARGIN" y="20">$title (ms, up to ${format(highestMillis)})</text>""")
            appendAxes()
            curves.entries.forEachIndexed { index, (name, histogram) ->
                val colour = COLOURS[index % COLOURS.size]
                val points = points(histogram, highestMillis)
                appendLine("""<polyline fill="none" stroke="$colour" stroke-width="1.5" points="$points"/>""")
                val y = MARGIN + index * LEGEND_LINE
                appendLine("""<text x="${MARGIN + LEGEND_INDENT}" y="${format(y)}" fill="$colour">$name</text>""")
            }
            appendLine("</svg>")
        }
    }

    private fun StringBuilder.appendAxes() {
        val bottom = HEIGHT - MARGIN
        appendLine("""<path d="M$MARGIN $MARGIN V$bottom H${WIDTH - MARGIN}" fill="none" stroke="black"/>""")
        MARKED_PERCENTILES.forEach { percentile ->
            appendLine("""<text x="${format(x(percentile))}" y="${bottom + LEGEND_LINE}">$percentile</text>""")
        }
    }

    private fun points(histogram: Histogram, highestMillis: Double): String =
        (0..CURVE_SEGMENTS).joinToString(" ") { step ->
            val percentile = PERCENT - PERCENT / DECADE_FACTOR.pow(PERCENTILE_DECADES * step / CURVE_SEGMENTS)
            val millis = histogram.getValueAtPercentile(percentile) / MICROS_IN_MILLISECOND
            "${format(x(percentile))},${format(y(millis, highestMillis))}"
        }

    private fun x(percentile: Double): Double {
        val decades = (-log10((PERCENT - percentile) / PERCENT)).coerceAtMost(PERCENTILE_DECADES)
        return MARGIN + (WIDTH - 2 * MARGIN) * decades / PERCENTILE_DECADES
    }

    private fun y(millis: Double, highestMillis: Double): Double =
        HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * millis / highestMillis

    private fun format(value: Double): String = String.format(Locale.ROOT, "%.1f", value)
}
