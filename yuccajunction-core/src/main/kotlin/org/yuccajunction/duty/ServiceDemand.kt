package org.yuccajunction.duty

/**
 * Demand for the backend servers of one service, at all entries together.
 *
 * @property openRequests requests that are open at the servers
 * @property busyServers servers that the requests keep busy on average, null while this is not known
 */
public data class ServiceDemand(public val openRequests: Double, public val busyServers: Double?) {
    public companion object {
        /**
         * Returns the demand at all [entries], of which some have [reported] how many servers they keep busy.
         *
         * The others are taken to have as much work each. The work is not known before half of the entries report it.
         */
        public fun fromReports(openRequests: Int, reported: List<Double>, entries: Int): ServiceDemand {
            val isKnown = reported.isNotEmpty() && reported.size * 2 >= entries
            val busyServers = if (isKnown) reported.sum() * entries / reported.size else null
            return ServiceDemand(openRequests.toDouble(), busyServers)
        }
    }
}
