package org.yuccajunction.relay

import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.ServiceName

/**
 * A peer through which this entry can forward requests to servers that it does not reach itself.
 *
 * @property endpoint where the peer takes requests of other entries
 * @property openRequests the peer's open requests, as it reported last
 * @property unreachableServices services of which the peer reaches no server either
 */
public data class RelayPeer(
    public val name: String,
    public val incarnation: Long,
    public val endpoint: Endpoint,
    public val availabilityZone: AvailabilityZone,
    public val openRequests: Int = 0,
    public val unreachableServices: Set<ServiceName> = emptySet(),
) {
    /** Identity of the peer among the servers of an attempt. */
    public val id: BackendServerId get() = BackendServerId.ofPeerEntry(name)

    /** Returns the peer as the server of an attempt of a request for [service]. */
    public fun asServer(service: ServiceName): BackendServer =
        BackendServer(
            id = id,
            service = service,
            endpoint = endpoint,
            availabilityZone = availabilityZone,
            startedAtMillis = incarnation,
        )

    public companion object {
        /** Returns the peer that sent [heartbeat], null if its address can't be parsed. */
        public fun of(heartbeat: EntryHeartbeat): RelayPeer? {
            val endpoint = Endpoint.parse(heartbeat.peerAddress) ?: return null
            return RelayPeer(
                name = heartbeat.name,
                incarnation = heartbeat.incarnation,
                endpoint = endpoint,
                availabilityZone = AvailabilityZone(heartbeat.availabilityZone),
                openRequests = heartbeat.openRequests.values.sum(),
                unreachableServices = heartbeat.unreachableServices.mapTo(HashSet()) { ServiceName(it) },
            )
        }
    }
}
