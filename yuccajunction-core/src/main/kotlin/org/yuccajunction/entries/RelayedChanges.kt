package org.yuccajunction.entries

import kotlinx.serialization.Serializable

/**
 * All changes of the objects of one kind between two versions of the store, as one entry relays them to another.
 *
 * A receiver that knows all changes up to a version from [after] to [until] knows all changes up to [until] once it has
 * processed [objects] in order.
 */
@Serializable
public data class RelayedChanges(
    public val kind: String,
    public val after: Long,
    public val until: Long,
    public val objects: List<RelayedObject>,
)
