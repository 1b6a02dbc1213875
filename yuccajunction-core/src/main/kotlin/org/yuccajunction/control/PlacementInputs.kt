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
 * Everything that the division of backend servers among entries depends on.
 *
 * Dividing thousands of servers among hundreds of entries is the dearest step of control; it is taken again only when
 * one of these has changed.
 *
 * @property entries every entry that may send requests
 * @property instances the platform's list, compared by identity
 * @property limits what the servers of each service bear
 */
public class PlacementInputs(
    public val entries: PersistentSet<InstanceId>,
    public val instances: Collection<PlatformInstance>,
    public val limits: Map<ServiceName, ServerLimits>,
) {
    /** Returns whether a division by [other] gives the same. */
    public fun isSameAs(other: PlacementInputs?): Boolean =
        other != null &&
            instances === other.instances &&
            entries == other.entries &&
            limits == other.limits

    public companion object {
        /** Returns what a division of [instances] depends on in the state of [board]. */
        public fun of(board: Blackboard, instances: Collection<PlatformInstance>): PlacementInputs =
            PlacementInputs(
                entries = requestingEntries(board, instances),
                instances = instances,
                limits = serverLimits(board.deployment),
            )

        /** Returns the entries listed, whether heard of or not, and those heard of that the list lags behind. */
        private fun requestingEntries(
            board: Blackboard,
            instances: Collection<PlatformInstance>,
        ): PersistentSet<InstanceId> {
            val membership = board.membership
            val heard = membership.peers.filterValues { !it.suspected }.keys
            return listedEntries(board, instances).addAll(heard).add(membership.self.entry.instance)
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
