package org.yuccajunction.fleet

/**
 * Load that a backend server reports with its answers.
 *
 * @property running requests that the server executes
 * @property waiting requests that wait at the server for a slot
 * @property slots requests that the server executes at once
 */
public data class LoadReport(public val running: Int, public val waiting: Int, public val slots: Int)
