package org.yuccajunction.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * All that traffic threads need from the control state, as one immutable value.
 *
 * The control thread publishes a new table after each change; traffic threads read the newest and hold no other state
 * of the control thread's.
 *
 * @property workspaces rules by the SHA-256 of the key, in lower-case hexadecimal
 * @property entries the entries that take new work, this one included while it does
 * @property homes the other entries that may be home of a request, leaving ones included
 * @property workspaceWeights share of each workspace against the others when capacity is short
 * @property builtAt when the control thread made this table
 * @property draining whether this entry has begun its graceful shutdown
 */
public data class RoutingTable(
    public val revision: Revision = Revision.NONE,
    public val availabilityZone: AvailabilityZone,
    public val services: PersistentMap<ServiceName, ServiceRoute> = persistentMapOf(),
    public val workspaces: PersistentMap<String, WorkspaceRule> = persistentMapOf(),
    public val workspaceWeights: PersistentMap<WorkspaceId, Double> = persistentMapOf(),
    public val builtAt: MonotonicTime = MonotonicTime.ZERO,
    public val entries: PersistentList<EntryAddress> = persistentListOf(),
    public val homes: PersistentMap<EntryIncarnation, HomeAddress> = persistentMapOf(),
    public val draining: Boolean = false,
    public val retryShare: Double = 0.1,
    public val addressAnswerSeconds: Long = 5,
)
