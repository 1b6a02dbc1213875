package org.yuccajunction.load.slope

/**
 * Size of a fleet for which the cost of control is measured.
 *
 * @property entries number of entries, the measured entry included
 * @property servers number of backend servers of all services together
 * @property services number of models and applications
 */
public data class FleetSize(public val entries: Int, public val servers: Int, public val services: Int) {
    init {
        require(entries > 0) { "entries must be positive: $entries" }
        require(servers >= services) { "fewer backend servers than services: $servers < $services" }
        require(services > 0) { "services must be positive: $services" }
    }
}
