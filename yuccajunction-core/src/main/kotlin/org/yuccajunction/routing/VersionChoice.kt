package org.yuccajunction.routing

import org.yuccajunction.model.ServiceVersion
import kotlin.random.Random

/** Picks the version of a service that one attempt goes to, by the shares in force on its route. */
internal object VersionChoice {
    /**
     * Returns the versions to try, in order.
     *
     * The version with the largest share may always stand in for another. One with a smaller share never takes more
     * than it, unless no server of any other version is left. A version that already failed this request is skipped.
     */
    fun order(service: ServiceRoute, query: RoutingQuery, random: Random): List<ServiceVersion> {
        val shares = service.routeShares[query.route] ?: service.shares
        val main = shares.maxByOrNull { it.value }?.key ?: return emptyList()
        val drawn = draw(shares, random)
        val failed = service.servers.filter { it.id in query.avoid }.map { it.version }
        val first = if (drawn in failed) main else drawn
        val others = shares.filterValues { it > 0.0 }.keys.filterNot { version ->
            service.serves(main) ||
                version == main
        }
        return (listOf(first, main) + others).distinct()
    }

    private fun draw(shares: Map<ServiceVersion, Double>, random: Random): ServiceVersion {
        val versions = shares.entries.sortedBy { it.key.value }
        var left = random.nextDouble(versions.sumOf { it.value })
        return versions.firstOrNull { version ->
            left -= version.value
            left < 0
        }?.key ?: versions.last().key
    }

    private fun ServiceRoute.serves(version: ServiceVersion): Boolean =
        servers.any { it.version == version && it.permits > 0 }
}
