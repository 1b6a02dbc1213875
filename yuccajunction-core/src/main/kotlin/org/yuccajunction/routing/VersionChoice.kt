package org.yuccajunction.routing

import org.yuccajunction.model.ServiceVersion
import kotlin.random.Random

/** Picks the version of a service that one attempt goes to, by the shares in force on its route. */
internal object VersionChoice {
    /**
     * Returns the versions to try, in order.
     *
     * A version on trial never takes more than its share, unless no server of another version is left. Every other
     * version may stand in for it. A version on trial that already failed this request is skipped.
     */
    fun candidateVersions(service: ServiceRoute, query: RoutingQuery, random: Random): List<ServiceVersion> {
        val shares = service.versionSharesByRoute[query.route] ?: service.versionShares
        val otherVersions = shares.keys.filter { it != service.trialVersion }
        val failed = service.servers.any { it.id in query.failedServers && it.version == service.trialVersion }
        val drawn = draw(if (failed) shares - setOfNotNull(service.trialVersion) else shares, random)
        val lastResort = if (otherVersions.any { service.serves(it) }) emptySet() else shares.keys
        return (listOfNotNull(drawn) + otherVersions + lastResort).distinct()
    }

    private fun draw(shares: Map<ServiceVersion, Double>, random: Random): ServiceVersion? {
        val versions = shares.entries.filter { it.value > 0.0 }.sortedBy { it.key.value }
        if (versions.isEmpty()) return null
        var remaining = random.nextDouble(versions.sumOf { it.value })
        val drawn =
            versions.firstOrNull { version ->
                remaining -= version.value
                remaining < 0
            }
        return (drawn ?: versions.last()).key
    }

    private fun ServiceRoute.serves(version: ServiceVersion): Boolean =
        servers.any { it.version == version && it.permits > 0 }
}
