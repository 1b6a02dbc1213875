package org.yuccajunction.load.slope

/**
 * What one step of control costs at one size.
 *
 * @property series the step that was measured
 * @property size the size along which the slope is taken, such as the number of entries
 * @property medianMicros median processor time of one step, in microseconds
 * @property bytes bytes of the message or the state that belongs to the step, 0 where there are none
 */
public data class ControlCost(
    public val series: String,
    public val size: Int,
    public val medianMicros: Double,
    public val bytes: Long = 0,
) {
    /** The point as a row of comma-separated values. */
    public fun toCsv(): String = "%s,%d,%.2f,%d".format(java.util.Locale.ROOT, series, size, medianMicros, bytes)

    public companion object {
        /** The names of the columns of [toCsv]. */
        public const val CSV_HEADER: String = "series,size,median_micros,bytes"
    }
}
