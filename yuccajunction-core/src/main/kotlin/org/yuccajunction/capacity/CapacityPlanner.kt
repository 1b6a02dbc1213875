package org.yuccajunction.capacity

import kotlin.math.ceil

/** Plans the cheapest instances that still meet the latency target after the loss of any one availability zone. */
public object CapacityPlanner {
    /** Fraction of a backend server's request limit that is planned for, so that the latency target is met. */
    private const val PLANNED_UTILIZATION_FRACTION = 0.7

    /** Returns how many backend servers serve [openRequests] at once where each has a request limit of [limit]. */
    public fun serversFor(openRequests: Int, limit: Int): Int {
        require(limit > 0) { "request limit is not positive: $limit" }
        return ceil(openRequests / (limit * PLANNED_UTILIZATION_FRACTION)).toInt()
    }

    /**
     * Returns the cheapest mix of [offers] of which [needed] instances are left after the loss of any one zone.
     *
     * The more instances one zone has, the more must run elsewhere to cover its loss, so the search tries every maximum
     * number of instances per zone. Returns null where the offers span too few zones.
     */
    public fun cheapestMix(needed: Int, offers: List<InstanceOffer>): InstanceMix? {
        if (needed == 0) return InstanceMix(emptyMap())
        val byZone = offers.groupBy { it.availabilityZone }.values.map { zone -> zone.minBy { it.pricePerHour } }
        return (1..needed)
            .mapNotNull { maxPerZone -> fillZones(needed + maxPerZone, maxPerZone, byZone) }
            .minByOrNull { it.pricePerHour }
    }

    /**
     * Returns [offers] without those that the cloud refused recently and that are still in backoff.
     *
     * @param refused the offers that are in backoff now
     */
    public fun withoutRefused(offers: List<InstanceOffer>, refused: Set<InstanceOffer>): List<InstanceOffer> =
        offers.filterNot { it in refused }

    /** Returns [size] instances of the cheapest [offers], at most [maxPerZone] of each; null where that is too few. */
    private fun fillZones(size: Int, maxPerZone: Int, offers: List<InstanceOffer>): InstanceMix? {
        if (offers.size * maxPerZone < size) return null
        val counts = mutableMapOf<InstanceOffer, Int>()
        offers.sortedBy { it.pricePerHour }.fold(size) { remaining, offer ->
            val taken = minOf(maxPerZone, remaining)
            if (taken > 0) counts[offer] = taken
            remaining - taken
        }
        return InstanceMix(counts)
    }
}
