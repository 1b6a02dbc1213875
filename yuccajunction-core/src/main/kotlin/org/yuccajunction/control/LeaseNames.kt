package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The leases under which one entry decides for all. */
public object LeaseNames {
    /** Moves of versions. */
    public const val ROLLOUT: String = "rollout"

    /** Starting and stopping of instances, and orders to backend servers. */
    public const val CAPACITY: String = "capacity"

    /** Every lease. */
    public val ALL: PersistentList<String> = persistentListOf(ROLLOUT, CAPACITY)
}
