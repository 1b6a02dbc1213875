package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.yuccajunction.document.Deployment
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.ServiceName
import org.yuccajunction.routing.ServerLimits

/**
 * Holds all inputs of the placement, which divides the backend servers among the entries.
 *
 * Placing thousands of servers among hundreds of entries is the most expensive step of control, so an entry repeats
 * the placement only after one of these inputs has changed.
 *
 * @property entries all entries that may send requests
 * @property instances the platform's instance list, compared by identity
 * @property limits the request limits of a backend server of each service
 */
public class PlacementInputs(
    public val entries: PersistentSet<InstanceId>,
    public val instances: Collection<PlatformInstance>,
    public val limits: Map<ServiceName, ServerLimits>,
) {
    /** Returns whether [other] leads to the same placement. */
    public fun isSameAs(other: PlacementInputs?): Boolean =
        other != null &&
            instances === other.instances &&
            entries == other.entries &&
            limits == other.limits

    public companion object {
        /** Returns the inputs for a placement of [instances] by the state of [board]. */
        public fun of(board: Blackboard, instances: Collection<PlatformInstance>): PlacementInputs =
            PlacementInputs(
                entries = requestingEntries(board, instances),
                instances = instances,
                limits = serverLimits(board.deployment),
            )

        /** Returns all listed entries, and the live peers that the instance list doesn't show yet. */
        private fun requestingEntries(
            board: Blackboard,
            instances: Collection<PlatformInstance>,
        ): PersistentSet<InstanceId> {
            val membership = board.membership
            val livePeers = membership.peers.filterValues { !it.suspected }.keys
            return listedEntries(board, instances).addAll(livePeers).add(membership.self.entry.instance)
        }

        private fun listedEntries(board: Blackboard, instances: Collection<PlatformInstance>) =
            if (instances === board.membership.listedInstances) {
                board.membership.listedEntries
            } else {
                instances.filter { it.role == InstanceRole.ENTRY }.map { it.id }.toPersistentSet()
            }

        private fun serverLimits(deployment: Deployment): Map<ServiceName, ServerLimits> =
            deployment.models.associate { it.name to ServerLimits(it.requestLimit, it.coldRequestLimit) } +
                deployment.applications.associate { it.name to ServerLimits(it.requestLimit, it.coldRequestLimit) }
    }
}
