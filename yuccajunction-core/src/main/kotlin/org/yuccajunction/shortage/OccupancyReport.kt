package org.yuccajunction.shortage

import kotlinx.serialization.Serializable

/**
 * What one entry knows of the load of a service's servers, in tenths; the figures are weighted sums of load reports.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property running requests that the servers execute
 * @property waiting requests that wait at the servers for a slot
 * @property slots requests that the servers execute at once; 0 without recent load reports
 */
@Serializable
public data class OccupancyReport(
    public val running: Int = 0,
    public val waiting: Int = 0,
    public val slots: Int = 0,
) {
    /** Whether hardly a slot is free, so that peers should take the report into account at once. */
    public val isFull: Boolean
        get() = !ServiceOccupancy(running.toDouble(), waiting.toDouble(), slots.toDouble()).hasRoom
}
