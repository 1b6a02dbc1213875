package org.yuccajunction.traffic

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.routing.EntryAddress
import kotlin.random.Random

/** Sorts the entries named to a caller: not busy before busy, then the caller's availability zone, then by load. */
public object AddressOrder {
    /** Load above which an entry counts as busy. */
    private const val BUSY_LOAD_FRACTION = 0.8

    /** Upper bound of the random load added to each entry, so that callers spread over entries of similar load. */
    private const val LOAD_JITTER_FRACTION = 0.2

    /** Returns [entries] in the order in which a caller in [callerZone] should try them; null is an unknown zone. */
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
