package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.model.ServiceName

/**
 * Which versions of each service may get requests.
 *
 * @property trials versions that get a part of the requests of their service
 * @property withheld versions that get no requests
 */
public data class VersionPolicy(
    public val trials: PersistentMap<ServiceName, VersionTrial> = persistentMapOf(),
    public val withheld: PersistentMap<ServiceName, PersistentSet<String>> = persistentMapOf(),
)
