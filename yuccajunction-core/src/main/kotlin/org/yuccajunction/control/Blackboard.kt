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
 * Controllers read it and return a changed copy; nothing else holds control state.
 *
 * @property now this entry's monotonic clock when the newest event came
 * @property deployment the configuration in force here
 * @property placementInputs what the shares of backend servers were last divided by, null before the first time
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
