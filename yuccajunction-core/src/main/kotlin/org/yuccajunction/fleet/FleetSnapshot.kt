package org.yuccajunction.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.ServiceName

/**
 * What the control thread believes, as one immutable value for the traffic threads.
 *
 * @property configuration the newest accepted configuration, null before the first was read
 * @property servers the backend servers by identity
 * @property drainedAvailabilityZones availability zones whose servers get no requests
 * @property entries names of the entries that are alive, this one included
 */
public data class FleetSnapshot(
    public val configuration: ForwardConfiguration? = null,
    public val servers: PersistentMap<BackendServerId, BackendServer> = persistentMapOf(),
    public val drainedAvailabilityZones: PersistentSet<AvailabilityZone> = persistentSetOf(),
    public val entries: PersistentList<String> = persistentListOf(),
) {
    private val byService: PersistentMap<ServiceName, PersistentList<BackendServer>> =
        servers.values
            .filterNot { it.isDraining || it.availabilityZone in drainedAvailabilityZones }
            .groupBy { it.service }
            .mapValues { (_, servers) -> servers.sortedBy { it.id.value }.toPersistentList() }
            .toPersistentMap()

    /** Returns the servers of [service] that may take new requests, by identity. */
    public fun candidates(service: ServiceName): PersistentList<BackendServer> =
        byService[service] ?: persistentListOf()
}
