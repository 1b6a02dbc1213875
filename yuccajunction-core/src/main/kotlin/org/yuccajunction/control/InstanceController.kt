package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.routing.ServerRecord
import org.yuccajunction.routing.ServerState
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the platform's instance list and the rows of backend servers that follow from it.
 *
 * A backend server that is new in the list starts as [ServerState.COLD]; one that the list marks as leaving becomes
 * [ServerState.LEAVING]; every other change of state is made elsewhere. When the list can't be read, its last rows
 * stay.
 *
 * @param interval time between two readings of the list while the platform answers
 */
public class InstanceController(private val interval: Duration = 1.seconds) : Controller {
    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            ControlEvent.Ticked -> onTick(board, random)
            is ControlEvent.InstancesListed -> ControlStep(onListed(board, event.instances))
            ControlEvent.InstancesUnavailable -> ControlStep(onUnavailable(board))
            else -> ControlStep(board)
        }

    private fun onTick(board: Blackboard, random: Random): ControlStep {
        val polling = board.membership.listing
        if (!polling.isDue(board.now)) return ControlStep(board)
        val next = polling.started(board.now, interval, random)
        return ControlStep(
            board.copy(membership = board.membership.copy(listing = next)),
            persistentListOf(ControlCommand.ListInstances, ControlCommand.ReadNotices),
        )
    }

    private fun onListed(board: Blackboard, instances: PersistentList<PlatformInstance>): Blackboard {
        val membership = board.membership
        return board.copy(
            membership =
            membership.copy(
                instances = instances.associateBy { it.id }.toPersistentMap(),
                listedAt = board.now,
                listing = membership.listing.succeeded(),
            ),
            servers = serversFrom(board, instances),
        )
    }

    private fun onUnavailable(board: Blackboard): Blackboard =
        board.copy(membership = board.membership.copy(listing = board.membership.listing.failed()))

    private fun serversFrom(
        board: Blackboard,
        instances: PersistentList<PlatformInstance>,
    ): PersistentMap<BackendServerId, ServerRecord> =
        instances
            .filter { it.role == InstanceRole.BACKEND_SERVER && it.service != null && it.version != null }
            .associate { BackendServerId(it.id.value) to record(board, it) }
            .toPersistentMap()

    private fun record(board: Blackboard, instance: PlatformInstance): ServerRecord {
        val known = board.servers[BackendServerId(instance.id.value)]
        val initial = if (instance.leaving) ServerState.LEAVING else ServerState.COLD
        if (known == null || known.isReplacedBy(instance)) return ServerRecord(instance, initial, board.now)
        val updated = known.copy(instance = instance)
        val starts = instance.leaving && known.state != ServerState.LEAVING
        return if (starts) updated.copy(state = ServerState.LEAVING, stateSince = board.now) else updated
    }

    private fun ServerRecord.isReplacedBy(listed: PlatformInstance): Boolean =
        instance.endpoint != listed.endpoint || instance.service != listed.service || instance.version != listed.version
}
