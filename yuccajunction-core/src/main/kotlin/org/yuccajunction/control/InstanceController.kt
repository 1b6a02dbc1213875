package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.PlatformInstance
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the platform's instance list and its notices of reclaims.
 *
 * When the list can't be read, its last rows stay.
 *
 * @param listingInterval time between two readings of the list while the platform answers
 */
public class InstanceController(private val listingInterval: Duration = 1.seconds) : Controller {
    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            ControlEvent.Ticked -> onTick(board, random)
            is ControlEvent.InstancesListed -> ControlStep(onListed(board, event.instances))
            ControlEvent.InstancesUnavailable -> ControlStep(onUnavailable(board))
            else -> ControlStep(board)
        }

    private fun onTick(board: Blackboard, random: Random): ControlStep {
        val polling = board.membership.instanceListPolling
        if (!polling.isDue(board.now)) return ControlStep(board)
        val next = polling.afterStart(board.now, listingInterval, random)
        return ControlStep(
            board.copy(membership = board.membership.copy(instanceListPolling = next)),
            persistentListOf(ControlCommand.ListInstances, ControlCommand.ReadReclaimNotices),
        )
    }

    private fun onListed(board: Blackboard, instances: PersistentList<PlatformInstance>): Blackboard {
        val membership = board.membership
        val read =
            membership.copy(
                listedAt = board.now,
                instanceListPolling = membership.instanceListPolling.afterSuccess(),
            )
        return board.copy(membership = if (instances == membership.listedInstances) read else read.withInstances(instances))
    }

    private fun MembershipState.withInstances(instances: PersistentList<PlatformInstance>): MembershipState =
        copy(
            instances = instances.associateBy { it.id }.toPersistentMap(),
            listedInstances = instances,
            listedEntries =
            instances.filter { it.role == InstanceRole.ENTRY }.map { it.id }.toPersistentSet(),
        )

    private fun onUnavailable(board: Blackboard): Blackboard =
        board.copy(
            membership = board.membership.copy(
                instanceListPolling = board.membership.instanceListPolling.afterFailure(),
            ),
        )
}
