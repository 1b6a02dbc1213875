package org.yuccajunction.relay

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides by the outcomes of new connections whether this entry reaches the backend servers of each service.
 *
 * Only new connections count, since established ones may go on working, or hang, while an entry is partitioned. A
 * service is unreachable from the failures at several servers of several availability zones on, until the next
 * connection opens.
 *
 * A proxy on the way may accept connections and reset them. So once a connection has ended as soon as it opened, the
 * service is in doubt: a connection then proves contact only if the server sends something on it or it stays open for
 * [SETTLING_TIME]. A server that resets connections because it has too many goes on sending on the others. Confined to
 * the traffic thread.
 *
 * @param onChange gets each service that becomes unreachable or reachable again
 */
public class ServiceReachability(private val onChange: (service: ServiceName, isReachable: Boolean) -> Unit) {
    private val failures = HashMap<ServiceName, LinkedHashMap<BackendServerId, Failure>>()
    private val unreachableSince = LinkedHashMap<ServiceName, MonotonicTime>()

    /** Services of which this entry reaches no server. */
    public val unreachableServices: Set<ServiceName> get() = unreachableSince.keys

    /** Returns whether this entry reaches servers of [service], as far as it knows. */
    public fun isReachable(service: ServiceName): Boolean =
        unreachableSince.isEmpty() || service !in unreachableSince

    /** Returns whether connections to servers of [service] have lately ended as soon as they opened. */
    public fun isInDoubt(service: ServiceName, now: MonotonicTime): Boolean =
        failures[service]?.values.orEmpty().any { it.isReset && it.isValid(now) }

    /** Returns whether connections to the server [id] of [service] have lately failed. */
    public fun hasFailed(service: ServiceName, id: BackendServerId): Boolean =
        failures[service]?.containsKey(id) == true

    /** Records that a connection to a server of [service] opened; returns whether that proves contact. */
    public fun recordConnection(service: ServiceName, now: MonotonicTime): Boolean {
        if (isInDoubt(service, now)) return false
        endFailures(service)
        return true
    }

    /** Records that a connection that opened at [openedAt] has proved contact to [service], whatever was in doubt. */
    public fun recordProof(service: ServiceName, openedAt: MonotonicTime) {
        val unreachableFrom = unreachableSince[service]
        if (unreachableFrom != null) {
            if (unreachableFrom < openedAt) endFailures(service)
            return
        }
        val recent = failures[service] ?: return
        recent.values.removeIf { it.at <= openedAt }
        recent.values.forEach { it.countFrom(openedAt) }
    }

    private fun endFailures(service: ServiceName) {
        failures.remove(service)
        if (unreachableSince.remove(service) != null) onChange(service, true)
    }

    /** Records that [server] has sent something, on any connection, so that it has not lost all of them. */
    public fun recordReceived(server: BackendServer) {
        if (failures.isEmpty()) return
        val recent = failures[server.service] ?: return
        if (recent[server.id]?.isReset == true) recent.remove(server.id)
    }

    /** Records that a connection to [server], one of the [listed] servers of its service, could not be opened. */
    public fun recordFailure(server: BackendServer, listed: Collection<BackendServer>, now: MonotonicTime) {
        val recent = failures.getOrPut(server.service) { LinkedHashMap() }
        recent[server.id] = Failure(server.availabilityZone, now, now, isReset = false)
        decide(server.service, listed, now)
    }

    /** Records that a connection to [server], one of the [listed], ended as soon as it opened, without any request. */
    public fun recordReset(server: BackendServer, listed: Collection<BackendServer>, now: MonotonicTime) {
        val recent = failures.getOrPut(server.service) { LinkedHashMap() }
        val since = recent[server.id]?.takeIf { it.isValid(now) }?.since ?: now
        recent[server.id] = Failure(server.availabilityZone, since, now, isReset = true)
        decide(server.service, listed, now)
    }

    private fun decide(service: ServiceName, listed: Collection<BackendServer>, now: MonotonicTime) {
        val recent = failures.getValue(service).values
        recent.removeIf { !it.isValid(now) }
        val counted = recent.filter { !it.isReset || now - it.since >= RESET_CONFIRMATION_TIME }
        val failedZones = counted.mapTo(HashSet()) { it.availabilityZone }
        val listedZones = listed.mapTo(HashSet()) { it.availabilityZone }
        val isAtSeveralServers = counted.size >= minOf(MIN_SERVERS, maxOf(1, listed.size))
        val isInSeveralZones = failedZones.size >= minOf(MIN_ZONES, maxOf(1, listedZones.size))
        if (!isAtSeveralServers || !isInSeveralZones || service in unreachableSince) return
        unreachableSince[service] = now
        onChange(service, false)
    }

    /** Forgets all services but those in [known]. */
    public fun retainServices(known: Set<ServiceName>) {
        failures.keys.retainAll(known)
        unreachableSince.keys.retainAll(known)
    }

    /** Failures of connections to one server, from [since] to [at]. */
    private class Failure(
        val availabilityZone: AvailabilityZone,
        var since: MonotonicTime,
        val at: MonotonicTime,
        val isReset: Boolean,
    ) {
        fun isValid(now: MonotonicTime): Boolean = now - at <= FAILURE_VALIDITY

        fun countFrom(time: MonotonicTime) {
            if (since < time) since = time
        }
    }

    public companion object {
        /** Time from its opening after which a connection that is still open proves contact. */
        public val SETTLING_TIME: Duration = 150.milliseconds

        /** Servers at which connections fail before their service counts as unreachable. */
        private const val MIN_SERVERS = 2

        /** Availability zones of these servers, so that the loss of one zone is not taken for a partition. */
        private const val MIN_ZONES = 2

        /** Time for which a failed connection says something about the links of this entry. */
        private val FAILURE_VALIDITY: Duration = 3.seconds

        /** Time in which a server that resets connections sends nothing on others, and no other one proves contact. */
        private val RESET_CONFIRMATION_TIME: Duration = 250.milliseconds
    }
}
