package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.configuration.ConfigurationState
import org.yuccajunction.document.Deployment
import org.yuccajunction.lease.LeaseState
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.rollout.RolloutState
import org.yuccajunction.routing.ServerRecord

/**
 * The whole control state of one entry at one moment.
 *
 * Each [Controller] reads the blackboard and returns a changed copy; no controller holds state of its own.
 *
 * @property now time of the last event, by this entry's monotonic clock
 * @property deployment the configuration in force at this entry
 * @property placementInputs the inputs of the last placement of backend servers; null before the first placement
 */
public data class Blackboard(
    public val now: MonotonicTime,
    public val membership: MembershipState,
    public val deployment: Deployment = Deployment(),
    public val servers: PersistentMap<BackendServerId, ServerRecord> = persistentMapOf(),
    public val placementInputs: PlacementInputs? = null,
    public val rollout: RolloutState = RolloutState(),
    public val leases: LeaseState = LeaseState(),
    public val configuration: ConfigurationState = ConfigurationState(),
)
