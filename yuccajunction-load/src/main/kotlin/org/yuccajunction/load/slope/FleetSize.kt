package org.yuccajunction.load.slope

/**
 * The size of a fleet for which the cost of control is measured.
 *
 * @property entries entry instances, this one included
 * @property servers backend servers of all services together
 * @property services models and applications
 */
public data class FleetSize(public val entries: Int, public val servers: Int, public val services: Int) {
    init {
        require(entries > 0) { "entries is not positive: $entries" }
        require(servers >= services) { "fewer servers than services: $servers < $services" }
        require(services > 0) { "services is not positive: $services" }
    }
}
