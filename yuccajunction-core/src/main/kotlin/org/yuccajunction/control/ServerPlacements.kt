package org.yuccajunction.control

import kotlinx.collections.immutable.mutate
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.routing.EntryRanking
import org.yuccajunction.routing.RendezvousHash
import org.yuccajunction.routing.ServerLimits
import org.yuccajunction.routing.ServerPlacement
import org.yuccajunction.routing.ServerRecord
import org.yuccajunction.routing.ServerShare
import org.yuccajunction.routing.ServerState
import org.yuccajunction.routing.ServerStateTransitions

/** Selects the backend servers that this entry details, and its share of each, from the instances listed. */
internal object ServerPlacements {
    /** Servers at which an entry without any share of a service may use spare room. */
    private const val BORROWED_SERVER_COUNT = 2

    /** Returns [board] with the servers that [instances] hold for this entry. */
    fun place(board: Blackboard, instances: Collection<PlatformInstance>): Blackboard {
        val inputs = PlacementInputs.of(board, instances)
        return if (inputs.isSameAs(board.placementInputs)) board else place(board, inputs)
    }

    private fun place(board: Blackboard, inputs: PlacementInputs): Blackboard {
        val ranking = EntryRanking(board.membership.self.entry.instance, inputs.entries)
        val byService =
            inputs.instances
                .filter { it.role == InstanceRole.BACKEND_SERVER && it.service in inputs.limits }
                .groupBy { it.service }
        val records =
            board.servers.clear().mutate { records ->
                byService.forEach { (service, servers) ->
                    placeService(board, ranking, servers, inputs.limits.getValue(checkNotNull(service)), records)
                }
            }
        return board.copy(servers = records, placementInputs = inputs)
    }

    private fun placeService(
        board: Blackboard,
        ranking: EntryRanking,
        servers: List<PlatformInstance>,
        limits: ServerLimits,
        records: MutableMap<BackendServerId, ServerRecord>,
    ) {
        val placed =
            servers
                .map { it to ranking.placement(BackendServerId(it.id.value), servers.size, limits.warm) }
                .filter { (_, place) -> place.rank < place.sharingEntryCount }
        placed.forEach { (instance, place) ->
            records[instance.serverId()] =
                serverRecord(board, instance, limits, permits(place, limits), borrowed = false)
        }
        if (placed.isNotEmpty()) return
        val key = RendezvousHash.hash(board.membership.self.entry.instance.value)
        servers
            .sortedByDescending { RendezvousHash.score(RendezvousHash.hash(it.id.value), key) }
            .take(BORROWED_SERVER_COUNT)
            .forEach { instance ->
                val onePermit = ServerShare.Permits(warm = 1, cold = 0)
                records[instance.serverId()] = serverRecord(board, instance, limits, onePermit, borrowed = true)
            }
    }

    private fun permits(place: ServerPlacement, limits: ServerLimits) =
        ServerShare.Permits(
            warm = place.share(limits.warm),
            cold = if (place.ownsColdStart) limits.cold else 0,
        )

    private fun serverRecord(
        board: Blackboard,
        instance: PlatformInstance,
        limits: ServerLimits,
        target: ServerShare.Permits,
        borrowed: Boolean,
    ): ServerRecord {
        val known = board.servers[instance.serverId()]?.takeIf { it.instance.endpoint == instance.endpoint }
        val old = known ?: ServerRecord(instance, ServerState.COLD, board.now)
        val share = old.share.retarget(target, board.now)
        val placed =
            old.copy(
                instance = instance,
                limits = limits,
                share = share,
                usablePermits = share.usablePermits(board.now),
                usesSpareCapacity = borrowed,
            )
        return ServerStateTransitions.withDrainingSignals(
            placed,
            placed.drainingSignals.copy(listedAsLeaving = instance.leaving),
            board.now,
        )
    }
}

/** Returns the id under which the instance is known as a backend server. */
internal fun PlatformInstance.serverId(): BackendServerId = BackendServerId(id.value)
