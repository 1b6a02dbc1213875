package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The names of the leases under which one entry decides for all entries. */
public object LeaseNames {
    /** The lease for moving services from one version to another. */
    public const val ROLLOUT: String = "rollout"

    /** The lease for starting and stopping instances and for orders to backend servers. */
    public const val CAPACITY: String = "capacity"

    /** All lease names. */
    public val ALL: PersistentList<String> = persistentListOf(ROLLOUT, CAPACITY)
}
