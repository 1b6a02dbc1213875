package org.yuccajunction.routing

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.RequestClass
import kotlin.math.ceil
import kotlin.random.Random

/** Picks one server for one attempt among those of one version, and takes its permit. */
internal class ServerSelection(
    private val query: RoutingQuery,
    private val service: ServiceRoute,
    private val ownZone: AvailabilityZone,
    private val openRequests: OpenRequests,
    private val random: Random,
) {
    /** Takes a permit at the best of [servers]; returns null where none is left that may meet the target. */
    fun acquire(servers: List<ServerRoute>): ServerRoute? {
        val untried = servers.filter { it.id !in query.avoid }
        val elsewhere = untried.filter { it.availabilityZone != query.avoidZone }
        return acquireAmong(elsewhere) ?: acquireAmong(untried - elsewhere.toSet())
    }

    private fun acquireAmong(servers: List<ServerRoute>): ServerRoute? {
        val ready = servers.filter { it.state == ServerState.READY && meetsTarget(it) }
        val cold = servers.filter { it.state == ServerState.COLD }.shuffled(random)
        val suspect = servers.filter { it.state == ServerState.SUSPECT }.shuffled(random)
        val probed = if (random.nextDouble() < PROBING_PART &&
            query.requestClass != RequestClass.ORDER
        ) {
            suspect
        } else {
            emptyList()
        }
        val warmed = if (random.nextDouble() < WARMING_PART) cold else emptyList()
        return (probed + warmed).take()
            ?: byPrefix(ready)
            ?: byPrediction(ready)
            ?: (cold + suspect).take()
    }

    /** Walks the servers in the order of the prefix and takes the first that is loaded no more than the others. */
    private fun byPrefix(ready: List<ServerRoute>): ServerRoute? {
        val key = query.prefixKey ?: return null
        val permits = ready.sumOf { it.permits }
        val bound = LOAD_BOUND * (ready.sumOf { openRequests.at(it.id) } + 1) / maxOf(permits, 1)
        return ready
            .sortedByDescending { RendezvousHash.score(RendezvousHash.hash(it.id.value), key) }
            .filter { openRequests.at(it.id) < ceil(bound * it.permits) && hasRoom(it) }
            .take()
    }

    private fun byPrediction(ready: List<ServerRoute>): ServerRoute? {
        val pair = ready.shuffled(random).take(2).sortedWith(preference)
        return pair.take() ?: (ready - pair.toSet()).sortedWith(preference).take()
    }

    private val preference: Comparator<ServerRoute> =
        compareBy<ServerRoute> { ceil(predicted(it) / (service.latencyTargetMillis * SIMILAR_PART_OF_TARGET)) }
            .thenBy { it.availabilityZone != ownZone }
            .thenBy { it.pricePerHour }
            .thenBy { predicted(it) }

    private fun predicted(server: ServerRoute): Double =
        FirstTokenPrediction.millis(server, openRequests.at(server.id), service.latencyTargetMillis)

    /** An idle server is always tried, so that an old measurement can't keep it out for good. */
    private fun meetsTarget(server: ServerRoute): Boolean =
        query.requestClass == RequestClass.ORDER ||
            query.avoid.isNotEmpty() ||
            openRequests.at(server.id) == 0 ||
            predicted(server) <= service.latencyTargetMillis * TOLERATED_OVERRUN

    private fun hasRoom(server: ServerRoute): Boolean =
        FirstTokenPrediction.occupancy(server, openRequests.at(server.id)) < FULL

    private fun List<ServerRoute>.take(): ServerRoute? = firstOrNull { openRequests.tryAcquire(it.id, it.permits) }

    private companion object {
        /** How much more than the mean load a server may bear for the sake of its cache. */
        const val LOAD_BOUND = 1.25
        const val FULL = 0.9
        const val WARMING_PART = 0.2
        const val PROBING_PART = 0.02
        const val SIMILAR_PART_OF_TARGET = 0.1
        const val TOLERATED_OVERRUN = 1.5
    }
}
