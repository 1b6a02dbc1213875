package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.relay.PeerRelays
import org.yuccajunction.relay.RelayPeer
import org.yuccajunction.relay.ServiceReachability
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Forwards requests through peers while this entry reaches no server of a service.
 *
 * Tries to connect to a server again and again until one connection opens. Confined to the traffic thread.
 */
internal class EntryRelays(private val dataPlane: DataPlane) {
    private val reachability = ServiceReachability(::reachabilityChanged)
    private val contactAt = HashMap<ServiceName, MonotonicTime>()
    private var provenAt: MonotonicTime? = null
    private val verified = HashSet<BackendServerId>()

    /** Services that are probed because they are in doubt. */
    private val doubted = HashSet<ServiceName>()
    val peers = PeerRelays(dataPlane.settings.availabilityZone, dataPlane.random)

    /** Names of the services of which this entry reaches no server, for peers. */
    val unreachableServices: List<String> get() = reachability.unreachableServices.map { it.value }

    fun isReachable(service: ServiceName): Boolean = reachability.isReachable(service)

    /** Returns whether connections to servers of [service] end as soon as they open, or did so lately. */
    fun isInDoubt(service: ServiceName): Boolean = reachability.isInDoubt(service, dataPlane.now())

    /** Returns whether a peer can take requests for [service], of which this entry reaches no server. */
    fun canReplace(service: ServiceName): Boolean =
        !isReachable(service) && peers.choose(service, emptySet()) != null

    /** Records that a connection to [server] opened at [openedAt]: a contact unless its service is in doubt. */
    fun recordConnection(server: BackendServer, openedAt: MonotonicTime) {
        if (server.isPeerEntry) return
        if (reachability.recordConnection(server.service, openedAt)) contactAt[server.service] = dataPlane.now()
    }

    /** Records that a connection to [server], which opened at [openedAt], has proved contact. */
    fun recordProof(server: BackendServer, openedAt: MonotonicTime) {
        if (server.isPeerEntry) return
        if (!hadProofSince(openedAt)) provenAt = openedAt
        contactAt[server.service] = dataPlane.now()
        reachability.recordProof(server.service, openedAt)
    }

    /** Records that a new connection to [server] could not be opened. */
    fun recordConnectionFailure(server: BackendServer) {
        if (server.isPeerEntry) return
        reachability.recordFailure(server, serversOf(server.service), dataPlane.now())
    }

    /** Records that a connection to [server] ended as soon as it opened, and tries others until the cause is clear. */
    fun recordReset(server: BackendServer) {
        if (server.isPeerEntry) return
        val service = server.service
        reachability.recordReset(server, serversOf(service), dataPlane.now())
        if (!doubted.add(service)) return
        dataPlane.log.write(LogEvent.SERVICE_IN_DOUBT) {
            field("service", service)
            field("server", server.id)
        }
        probeWhileInDoubt(service)
    }

    private fun probeWhileInDoubt(service: ServiceName) {
        if (!isInDoubt(service) || !isReachable(service)) {
            doubted.remove(service)
            return
        }
        verifyOne(serversOf(service))
        dataPlane.loop.schedule({ probeWhileInDoubt(service) }, DOUBT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Records that [server] has sent something. */
    fun recordContact(server: BackendServer) {
        if (server.isPeerEntry) return peers.recordActivity(server.id, dataPlane.now())
        contactAt[server.service] = dataPlane.now()
        reachability.recordReceived(server)
    }

    /** Returns whether a server of [service] has been in contact since [time]. */
    fun hadContactSince(service: ServiceName, time: MonotonicTime): Boolean = contactAt[service].let {
        it != null &&
            it > time
    }

    /** Returns whether a connection that opened after [time] has proved contact to any server. */
    fun hadProofSince(time: MonotonicTime): Boolean = provenAt.let { it != null && it > time }

    /** Tries to connect to [server], at which an attempt was silent, unless others of its service are in contact. */
    fun verifyAfterSilence(server: BackendServer) {
        if (!hadContactSince(server.service, dataPlane.now() - RECENT_CONTACT)) verify(server)
    }

    private fun verify(server: BackendServer) {
        if (server.isPeerEntry || !verified.add(server.id)) return
        dataPlane.serverConnections.probe(server) { verified.remove(server.id) }
    }

    /** Tries to connect to a random server of [service], or of any service if none is given. */
    fun verifyAny(service: ServiceName? = null) {
        val servers = dataPlane.fleet.servers.values.filter {
            !it.isDraining &&
                (service == null || it.service == service)
        }
        verifyOne(servers)
    }

    /** Tries to connect to a random one of [servers], rather to one at which no connection has failed lately. */
    private fun verifyOne(servers: List<BackendServer>) {
        val untried = servers.filterNot { reachability.hasFailed(it.service, it.id) }
        untried.ifEmpty { servers }.randomOrNull(dataPlane.random)?.let(::verify)
    }

    /** Records the newest [heartbeats] of the [live] entries. */
    fun acceptHeartbeats(heartbeats: List<EntryHeartbeat>, live: Set<String>) {
        heartbeats.filter { it.isReady }.mapNotNull(RelayPeer::of).forEach(peers::recordPeer)
        peers.retainPeers(live - heartbeats.filterNot { it.isReady }.mapTo(HashSet()) { it.name })
    }

    /** Forgets services that have no servers any more. */
    fun retainServices() {
        reachability.retainServices(dataPlane.fleet.servers.values.mapTo(HashSet()) { it.service })
    }

    private fun serversOf(service: ServiceName): List<BackendServer> =
        dataPlane.fleet.servers.values.filter { it.service == service && !it.isDraining }

    private fun reachabilityChanged(service: ServiceName, isReachable: Boolean) {
        val event = if (isReachable) LogEvent.SERVICE_REACHABLE else LogEvent.SERVICE_UNREACHABLE
        dataPlane.log.write(event) { field("service", service) }
        dataPlane.reportUrgently()
        if (isReachable) return
        dataPlane.serverConnections.closeIdle(service)
        probeUntilReachable(service)
    }

    private fun probeUntilReachable(service: ServiceName) {
        if (isReachable(service)) return
        verifyAny(service)
        dataPlane.loop.schedule({ probeUntilReachable(service) }, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Time between two attempts to connect to a server of a service that this entry does not reach. */
        const val PROBE_INTERVAL_MILLIS = 250L

        /** Time between two attempts to connect to servers of a service that is in doubt. */
        const val DOUBT_INTERVAL_MILLIS = 50L

        /** Time without contact to a service after which a silent attempt may be due to the links of this entry. */
        val RECENT_CONTACT = 400.milliseconds
    }
}
