package org.yuccajunction.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.port.FleetSource
import org.yuccajunction.port.StoredObject

/**
 * The availability zones that the operator drains.
 *
 * An order is in its name alone, so whatever else stands in the object, the zone is drained until the object is gone.
 */
internal class DrainedZones(private val source: FleetSource, private val decoder: StoredObjectDecoder) {
    private val drained = HashSet<AvailabilityZone>()

    /** Accepts changed orders, or all orders if [isFullList], and returns the zones that are drained. */
    fun accept(isFullList: Boolean, objects: List<StoredObject>): PersistentSet<AvailabilityZone> {
        if (isFullList) drained.clear()
        for (stored in objects) {
            val availabilityZone = decoder.decodeOrWrite(stored, source::decodeDrainedZone) ?: continue
            if (stored.value == null) drained -= availabilityZone else drained += availabilityZone
        }
        return drained.toPersistentSet()
    }
}
