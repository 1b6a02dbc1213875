package org.yuccajunction.fleet

/**
 * Load that a backend server reports with its answers; a figure is null where it is missing or can't be read.
 *
 * @property running requests that the server executes
 * @property waiting requests that wait at the server for a slot
 * @property slots requests that the server executes at once
 * @property pacePercent how long work takes on the server's machine at this moment, as a percentage of the usual time
 */
public data class LoadReport(
    public val running: Int?,
    public val waiting: Int?,
    public val slots: Int?,
    public val pacePercent: Int? = null,
)
