package org.yuccajunction.routing

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.RequestClass
import kotlin.math.ceil
import kotlin.random.Random

/** Selects one server for one attempt among the servers of one version, and acquires a permit there. */
internal class ServerSelection(
    private val query: RoutingQuery,
    private val service: ServiceRoute,
    private val ownZone: AvailabilityZone,
    private val openRequests: OpenRequests,
    private val random: Random,
) {
    /** Acquires a permit at the best of [servers]; returns null where none that may meet the target has one left. */
    fun selectAndAcquire(servers: List<ServerRoute>): ServerRoute? {
        val untried = servers.filter { it.id !in query.failedServers }
        val elsewhere = untried.filter { it.availabilityZone != query.lastFailureZone }
        return acquireAmong(elsewhere) ?: acquireAmong(untried - elsewhere.toSet())
    }

    private fun acquireAmong(servers: List<ServerRoute>): ServerRoute? {
        val ready = servers.filter { it.state == ServerState.READY && meetsTarget(it) }
        val cold = servers.filter { it.state == ServerState.COLD }.shuffled(random)
        val suspect = servers.filter { it.state == ServerState.SUSPECT }.shuffled(random)
        val probeTargets = if (random.nextDouble() < PROBE_PROBABILITY &&
            query.requestClass != RequestClass.ORDER
        ) {
            suspect
        } else {
            emptyList()
        }
        val warmUpTargets = if (random.nextDouble() < COLD_SERVER_PROBABILITY) cold else emptyList()
        return (probeTargets + warmUpTargets).acquireFirst()
            ?: acquireByPrefix(ready)
            ?: acquireByPrediction(ready)
            ?: (cold + suspect).acquireFirst()
    }

    /** Selects the first server in the rendezvous order of the prompt prefix whose load is within the load bound. */
    private fun acquireByPrefix(ready: List<ServerRoute>): ServerRoute? {
        val key = query.prefixKey ?: return null
        val permits = ready.sumOf { it.permits }
        val bound = MAX_LOAD_FACTOR * (ready.sumOf { openRequests.countAt(it.id) } + 1) / maxOf(permits, 1)
        return ready
            .sortedByDescending { RendezvousHash.score(RendezvousHash.hash(it.id.value), key) }
            .filter { openRequests.countAt(it.id) < ceil(bound * it.permits) && hasRoom(it) }
            .acquireFirst()
    }

    private fun acquireByPrediction(ready: List<ServerRoute>): ServerRoute? {
        val pair = ready.shuffled(random).take(2).sortedWith(preference)
        return pair.acquireFirst() ?: (ready - pair.toSet()).sortedWith(preference).acquireFirst()
    }

    private val preference: Comparator<ServerRoute> =
        compareBy<ServerRoute> { ceil(predicted(it) / (service.latencyTargetMillis * SIMILAR_LATENCY_TARGET_FRACTION)) }
            .thenBy { it.availabilityZone != ownZone }
            .thenBy { it.pricePerHour }
            .thenBy { predicted(it) }

    private fun predicted(server: ServerRoute): Double =
        FirstTokenPrediction.millis(server, openRequests.countAt(server.id), service.latencyTargetMillis)

    /**
     * Returns whether [server] is predicted to meet the latency target.
     *
     * An idle server always counts as meeting it, so that an old measurement can't exclude the server for good.
     */
    private fun meetsTarget(server: ServerRoute): Boolean =
        query.requestClass == RequestClass.ORDER ||
            query.failedServers.isNotEmpty() ||
            openRequests.countAt(server.id) == 0 ||
            predicted(server) <= service.latencyTargetMillis * MAX_TARGET_FACTOR

    private fun hasRoom(server: ServerRoute): Boolean =
        FirstTokenPrediction.occupancy(server, openRequests.countAt(server.id)) < FULL_OCCUPANCY_FRACTION

    private fun List<ServerRoute>.acquireFirst(): ServerRoute? =
        firstOrNull { openRequests.tryAcquire(it.id, it.permits) }

    private companion object {
        /** Load of a server relative to the mean, up to which prefix affinity applies. */
        const val MAX_LOAD_FACTOR = 1.25
        const val FULL_OCCUPANCY_FRACTION = 0.9
        const val COLD_SERVER_PROBABILITY = 0.2
        const val PROBE_PROBABILITY = 0.02
        const val SIMILAR_LATENCY_TARGET_FRACTION = 0.1
        const val MAX_TARGET_FACTOR = 1.5
    }
}
