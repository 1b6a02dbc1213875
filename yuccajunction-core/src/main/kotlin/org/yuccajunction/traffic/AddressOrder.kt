package org.yuccajunction.traffic

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.routing.EntryAddress
import kotlin.random.Random

/** Orders the entries that a caller may use: its own availability zone first, the less loaded first. */
public object AddressOrder {
    private const val BUSY_LOAD = 0.8
    private const val LOAD_JITTER = 0.2

    /** Returns [entries] in the order in which a caller in [zone] is to try them; a null zone is unknown. */
    public fun of(entries: List<EntryAddress>, zone: AvailabilityZone?, random: Random): List<EntryAddress> {
        val keyed = entries.map { it to it.load + random.nextDouble(LOAD_JITTER) }
        val order = compareBy<Pair<EntryAddress, Double>>({ (entry, _) -> rank(entry, zone) }, { (_, load) -> load })
        return keyed.sortedWith(order).map { (entry, _) -> entry }
    }

    private fun rank(entry: EntryAddress, zone: AvailabilityZone?): Int {
        val elsewhere = zone != null && entry.availabilityZone != zone
        val busy = entry.load > BUSY_LOAD
        return (if (elsewhere) 1 else 0) + (if (busy) 2 else 0)
    }
}
