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
import org.yuccajunction.rollout.VersionPolicy

/**
 * Immutable view of the configuration, the backend servers and the entries that the control thread publishes.
 *
 * The traffic thread routes requests by the newest snapshot.
 *
 * @property configuration newest accepted configuration, null before the first was read
 * @property servers listed backend servers, by identity
 * @property drainedAvailabilityZones availability zones whose servers get no requests
 * @property entries names of the entries that are alive, this one included
 * @property versions which versions of the services may get requests
 */
public data class FleetSnapshot(
    public val configuration: ForwardConfiguration? = null,
    public val servers: PersistentMap<BackendServerId, BackendServer> = persistentMapOf(),
    public val drainedAvailabilityZones: PersistentSet<AvailabilityZone> = persistentSetOf(),
    public val entries: PersistentList<String> = persistentListOf(),
    public val versions: VersionPolicy = VersionPolicy(),
) {
    private val byService: PersistentMap<ServiceName, PersistentList<BackendServer>> =
        servers.values
            .filterNot { it.isDraining || it.availabilityZone in drainedAvailabilityZones || isWithheld(it) }
            .groupBy { it.service }
            .mapValues { (_, servers) -> servers.sortedBy { it.id.value }.toPersistentList() }
            .toPersistentMap()

    private fun isWithheld(server: BackendServer): Boolean =
        server.version in versions.withheld[server.service].orEmpty()

    /** Returns the servers of [service] that may take new requests, in the order of their identities. */
    public fun candidates(service: ServiceName): PersistentList<BackendServer> =
        byService[service] ?: persistentListOf()
}
