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
 * An immutable snapshot of the control state for traffic threads.
 *
 * The control thread publishes a new table after each change. Traffic threads read the newest table and hold no other
 * part of the control state.
 *
 * @property workspaces workspace rules by the SHA-256 of the API key, in lower-case hexadecimal
 * @property workspaceWeights relative weight of each workspace when capacity is short
 * @property builtAt when the control thread built this table
 * @property entries the entries that accept new requests, this one included while it accepts them
 * @property homes the other entries that may be the home of a request, draining ones included
 * @property draining whether this entry has begun its graceful shutdown
 * @property retryShare retries allowed as a fraction of the requests
 * @property addressAnswerSeconds time for which callers may keep the list of entries
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
