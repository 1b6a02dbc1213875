package org.yuccajunction.load.slope

/**
 * Cost of one step of control at one fleet size.
 *
 * @property series name of the measured step
 * @property size quantity on which the cost depends, such as the number of entries
 * @property medianMicros median processor time of one step in microseconds
 * @property bytes size in bytes of the message or state of the step, or the count that [series] names; 0 for none
 */
public data class ControlCost(
    public val series: String,
    public val size: Int,
    public val medianMicros: Double,
    public val bytes: Long = 0,
) {
    /** Returns this cost as a row of comma-separated values. */
    public fun toCsv(): String = "%s,%d,%.2f,%d".format(java.util.Locale.ROOT, series, size, medianMicros, bytes)

    public companion object {
        /** Column names of [toCsv]. */
        public const val CSV_HEADER: String = "series,size,median_micros,bytes"
    }
}
