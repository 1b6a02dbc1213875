package org.yuccajunction.shortage

/**
 * The demand for one service at an average entry, in slot milliseconds per second.
 *
 * @property offered work of all requests by workspace, each by rank
 * @property rejected work of the requests that were rejected, by rank
 * @property completed work of the requests that have ended
 * @property requestWork mean work of one request in slot milliseconds
 * @property occupancy how full the servers are as all entries know together, null where none knows
 */
internal class MeanDemand(
    val offered: Map<Int, DoubleArray>,
    val rejected: DoubleArray,
    val completed: Double,
    val requestWork: Double,
    val occupancy: ServiceOccupancy?,
) {
    val total: Double = offered.values.sumOf { it.sum() }
}
