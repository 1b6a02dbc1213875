package org.yuccajunction.fleet

/**
 * How busy the listed backend servers of one service are, as this entry knows from their load reports.
 *
 * @property servers number of listed servers of which a load report is known
 * @property running requests that these servers execute together
 * @property waiting requests that wait at these servers together
 * @property slots requests that these servers execute at once together
 * @property ageMillis mean age of the reports
 */
public data class ServiceCongestion(
    public val servers: Int,
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val ageMillis: Long,
) {
    /** Mean number of requests that wait at a server. */
    public val meanWaiting: Double get() = if (servers == 0) 0.0 else waiting / servers.toDouble()
}
