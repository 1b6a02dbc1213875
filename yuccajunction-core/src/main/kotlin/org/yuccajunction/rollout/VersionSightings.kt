package org.yuccajunction.rollout

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Withholds requests from a version that appears before an order names it.
 *
 * Orders and servers are watched separately, so the first servers of a new version may be known before the order. A
 * version that no order names within [ORDER_GRACE] is in service like any other.
 */
internal class VersionSightings {
    /** When each version was first seen; null for the version that was in service from the start. */
    private val firstSeen = HashMap<ServiceName, HashMap<String, MonotonicTime?>>()

    /** Records the versions of [servers]; those that are there when a service is first seen count as in service. */
    fun record(servers: Collection<BackendServer>, now: MonotonicTime) {
        val byService = servers.groupBy { it.service }
        firstSeen.keys.retainAll(byService.keys)
        for ((service, ofService) in byService) {
            val present = ofService.mapTo(HashSet()) { it.version }
            val known = firstSeen[service]
            if (known == null) {
                val inService = ofService.minBy { it.startedAtMillis ?: Long.MAX_VALUE }.version
                firstSeen[service] = present.associateWithTo(HashMap()) { if (it == inService) null else now }
            } else {
                known.keys.retainAll(present)
                present.filterNot { it in known }.forEach { known[it] = now }
            }
        }
    }

    /** Returns the versions of [service] that are too new to be used without an order, if another one is in service. */
    fun unordered(service: ServiceName, now: MonotonicTime): Set<String> {
        val seen = firstSeen[service].orEmpty()
        val new = seen.filterValues { it != null && now - it < ORDER_GRACE }.keys
        return if (new.size < seen.size) new.toSet() else emptySet()
    }

    /** Returns whether a version of any service is withheld at [now], so that the answer will change by time. */
    fun isPending(now: MonotonicTime): Boolean = firstSeen.keys.any { unordered(it, now).isNotEmpty() }

    private companion object {
        val ORDER_GRACE: Duration = 3.seconds
    }
}
