package org.yuccajunction.entry

import kotlinx.serialization.Serializable
import org.yuccajunction.control.Blackboard
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.MoveStatus
import org.yuccajunction.rollout.VersionVeto
import org.yuccajunction.routing.ServerState

/** The state of the system as one entry sees it, for operators and tests. */
@Serializable
public data class EntryStateReport(
    public val entry: EntryIncarnation,
    public val revision: Revision,
    public val leaving: Boolean,
    public val peers: List<PeerReport>,
    public val servers: List<ServerReport>,
    public val leases: List<String>,
    public val moves: List<MoveStatus>,
    public val vetoes: List<VersionVeto>,
) {
    /** One peer, as this entry sees it. */
    @Serializable
    public data class PeerReport(
        public val entry: EntryIncarnation,
        public val revision: Revision,
        public val leaving: Boolean,
        public val suspected: Boolean,
    )

    /**
     * One backend server, as this entry sees it.
     *
     * @property permits number of requests that this entry may have open at the backend server
     */
    @Serializable
    public data class ServerReport(
        public val id: String,
        public val service: String,
        public val version: String,
        public val availabilityZone: String,
        public val state: ServerState,
        public val permits: Int = 0,
    )

    public companion object {
        /** Returns the report on the state in [board]. */
        public fun of(board: Blackboard): EntryStateReport =
            EntryStateReport(
                entry = board.membership.self.entry,
                revision = board.deployment.revision,
                leaving = board.membership.self.draining,
                peers = board.membership.peers.values.map { peer ->
                    PeerReport(peer.state.entry, peer.state.revision, peer.state.draining, peer.suspected)
                },
                servers = board.servers.map { (id, server) ->
                    ServerReport(
                        id = id.value,
                        service = server.instance.service?.value.orEmpty(),
                        version = server.instance.version?.value.orEmpty(),
                        availabilityZone = server.instance.availabilityZone.value,
                        state = server.state,
                        permits = server.permits(board.now),
                    )
                },
                leases = board.leases.held.keys.toList(),
                moves = board.rollout.moves.values.toList(),
                vetoes = board.rollout.vetoes.toList(),
            )
    }
}
