package org.yuccajunction.traffic

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.routing.EntryAddress
import kotlin.random.Random

/** Orders the entries that a caller may use: its own availability zone first, the less loaded first. */
public object AddressOrder {
    private const val BUSY_LOAD_FRACTION = 0.8
    private const val LOAD_JITTER_FRACTION = 0.2

    /** Returns [entries] in the order in which a caller in [callerZone] is to try them; a null zone is unknown. */
    public fun of(entries: List<EntryAddress>, callerZone: AvailabilityZone?, random: Random): List<EntryAddress> {
        val keyed = entries.map { it to it.load + random.nextDouble(LOAD_JITTER_FRACTION) }
        val order =
            compareBy<Pair<EntryAddress, Double>>({ (entry, _) -> rank(entry, callerZone) }, { (_, load) -> load })
        return keyed.sortedWith(order).map { (entry, _) -> entry }
    }

    private fun rank(entry: EntryAddress, callerZone: AvailabilityZone?): Int {
        val isElsewhere = callerZone != null && entry.availabilityZone != callerZone
        val isBusy = entry.load > BUSY_LOAD_FRACTION
        return (if (isElsewhere) 1 else 0) + (if (isBusy) 2 else 0)
    }
}
