package org.yuccajunction.shortage

/**
 * How full the servers of a service are, as known from their load reports.
 *
 * Only the ratios to [slots] count, so the figures may cover a part of the servers.
 *
 * @property running requests that the servers execute
 * @property waiting requests that wait at the servers for a slot
 * @property slots requests that the servers execute at once
 * @property ageMillis mean age of the reports in milliseconds
 */
public data class ServiceOccupancy(
    public val running: Double,
    public val waiting: Double,
    public val slots: Double,
    public val ageMillis: Long = 0,
) {
    /** Fraction of the slots that are in use. */
    public val utilization: Double get() = if (slots > 0.0) minOf(1.0, running / slots) else 0.0

    /** Requests that wait for each slot. */
    public val waitingPerSlot: Double get() = if (slots > 0.0) waiting / slots else 0.0

    /** Whether a tenth of the slots is free and hardly a request waits. */
    public val hasRoom: Boolean get() = utilization <= FULL_UTILIZATION && waitingPerSlot < LEAST_WAITING

    private companion object {
        const val FULL_UTILIZATION = 0.9

        /** Requests that wait for each slot below which nothing counts as waiting. */
        const val LEAST_WAITING = 0.01
    }
}
