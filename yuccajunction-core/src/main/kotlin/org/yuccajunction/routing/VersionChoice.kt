package org.yuccajunction.routing

import org.yuccajunction.model.ServiceVersion
import kotlin.random.Random

/** Chooses the version of a service for one attempt, by the shares that hold on the request's route. */
internal object VersionChoice {
    /**
     * Returns the versions to try, in order.
     *
     * The trial version gets no more than its share unless no other version has a server left. Any other version may
     * replace the trial version. The trial version is skipped where an attempt of this request at it already failed.
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
